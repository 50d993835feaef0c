use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use model::{CallName, ServiceName};
use toml::de::DeTable;

use crate::call_reader::read_call;
use crate::contract_reader::read_entry;
use crate::fault_list::{FaultList, shorten};
use crate::field_reader::{FieldReader, FieldText};
use crate::text_bounds::MAX_CALLS_PER_SERVICE;
use crate::{CallContract, FaultKind, ServiceContract};

/// A parsed service and the spans of its dependencies in the text.
pub(crate) struct ParsedService {
    pub(crate) contract: ServiceContract,
    pub(crate) dependencies: BTreeMap<ServiceName, Range<usize>>,
}

/// Reads the table of one service.
pub(crate) fn read_service<'t>(
    name: &ServiceName,
    table: &'t DeTable<'t>,
    span: Range<usize>,
    faults: &mut FaultList<'_>,
) -> ParsedService {
    const FIELDS: &[&str] = &["depends_on", "calls"];
    let location = format!("service \"{name}\"");
    let reader = FieldReader::new(table, location, span, FIELDS, faults);
    let texts = reader.texts("depends_on", faults);
    let dependencies = read_dependencies(name, texts, faults);
    let calls = read_calls(name, &reader, faults);
    let depends_on: BTreeSet<_> = dependencies.keys().cloned().collect();
    ParsedService {
        contract: ServiceContract { depends_on, calls },
        dependencies,
    }
}

fn read_dependencies(
    service: &ServiceName,
    texts: Vec<FieldText<'_>>,
    faults: &mut FaultList<'_>,
) -> BTreeMap<ServiceName, Range<usize>> {
    let mut dependencies = BTreeMap::new();
    for FieldText { text, span } in texts {
        let name = match ServiceName::parse(text) {
            Ok(name) => name,
            Err(error) => {
                let name = shorten(text);
                let kind = "service";
                faults.push(FaultKind::BadName { kind, name, error }, span);
                continue;
            }
        };
        if dependencies.insert(name.clone(), span.clone()).is_some() {
            let fault = FaultKind::DuplicateDependency {
                service: service.to_string(),
                dependency: name.to_string(),
            };
            faults.push(fault, span);
        }
    }
    dependencies
}

fn read_calls(
    service: &ServiceName,
    reader: &FieldReader<'_>,
    faults: &mut FaultList<'_>,
) -> BTreeMap<CallName, CallContract> {
    let mut calls = BTreeMap::new();
    let entries = reader.table("calls", faults);
    let entries = entries.filter(|(entries, _)| !entries.is_empty());
    let Some((entries, span)) = entries else {
        calls.insert(
            ServiceContract::DEFAULT_CALL.into(),
            CallContract::default(),
        );
        return calls;
    };
    if entries.len() > MAX_CALLS_PER_SERVICE {
        let service = service.to_string();
        let count = entries.len();
        faults.push(FaultKind::TooManyCalls { service, count }, span);
        return calls;
    }
    for (key, value) in entries {
        let entry = read_entry("call", CallName::parse, key, value, faults);
        let Some((name, table)) = entry else { continue };
        let Some(call) = read_call(&name, table, key.span(), faults) else {
            continue;
        };
        check_duplicate(service, &name, &call, &calls, key.span(), faults);
        calls.insert(name, call);
    }
    calls
}

/// Reports a call that has the same method and path as an earlier one.
fn check_duplicate(
    service: &ServiceName,
    name: &CallName,
    call: &CallContract,
    earlier: &BTreeMap<CallName, CallContract>,
    span: Range<usize>,
    faults: &mut FaultList<'_>,
) {
    let is_same = |other: &CallContract| other.path == call.path && other.method == call.method;
    let Some((first, _)) = earlier.iter().find(|(_, other)| is_same(other)) else {
        return;
    };
    let fault = FaultKind::DuplicateCall {
        service: service.to_string(),
        first: first.to_string(),
        second: name.to_string(),
    };
    faults.push(fault, span);
}
