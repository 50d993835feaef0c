use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

use model::{CallName, ServiceName};
use toml::de::DeTable;

use crate::call_reader::read_call;
use crate::contract_reader::read_entry;
use crate::fault_list::{FaultList, shorten};
use crate::field_reader::{FieldReader, FieldText};
use crate::text_bounds::{MAX_CALLS_PER_SERVICE, MAX_DEADLINE_MS, MAX_PATH_LEN, MAX_RATE_PER_S};
use crate::{CallContract, FaultKind, ServiceContract, WarmUpTerms, is_plain_path};

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
    const FIELDS: &[&str] = &["health_path", "depends_on", "warm_up", "calls"];
    let location = format!("service \"{name}\"");
    let reader = FieldReader::new(table, location, span, FIELDS, faults);
    let texts = reader.texts("depends_on", faults);
    let dependencies = read_dependencies(name, texts, faults);
    let health_path = read_health_path(&reader, faults);
    let warm_up = read_warm_up(name, &reader, faults);
    let calls = read_calls(name, &reader, faults);
    let depends_on: BTreeSet<_> = dependencies.keys().cloned().collect();
    ParsedService {
        contract: ServiceContract {
            health_path,
            depends_on,
            warm_up,
            calls,
        },
        dependencies,
    }
}

fn read_health_path(reader: &FieldReader<'_>, faults: &mut FaultList<'_>) -> Option<Arc<str>> {
    let path = reader.text("health_path", faults)?;
    if path.text.len() <= MAX_PATH_LEN && is_plain_path(path.text) {
        return Some(path.text.into());
    }
    faults.push(FaultKind::BadPath(shorten(path.text)), path.span);
    None
}

fn read_warm_up(
    service: &ServiceName,
    reader: &FieldReader<'_>,
    faults: &mut FaultList<'_>,
) -> Option<WarmUpTerms> {
    const FIELDS: &[&str] = &["span_ms", "rate_per_s"];
    let (table, span) = reader.table("warm_up", faults)?;
    let location = format!("\"warm_up\" of service \"{service}\"");
    let reader = FieldReader::new(table, location, span, FIELDS, faults);
    let span_ms = reader.required_number("span_ms", 1..=MAX_DEADLINE_MS, faults);
    let rate_per_s = reader.required_number("rate_per_s", 1..=u64::from(MAX_RATE_PER_S), faults);
    Some(WarmUpTerms {
        span_ms: span_ms?,
        rate_per_s: u32::try_from(rate_per_s?).ok()?,
    })
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
