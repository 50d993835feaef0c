use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use model::{CallName, ServiceName};
use toml::de::DeTable;

use crate::call_reader::read_importance;
use crate::contract_reader::read_entry;
use crate::fault_list::{FaultList, shorten};
use crate::field_reader::FieldReader;
use crate::text_bounds::{MAX_ATTEMPTS, MAX_DEADLINE_MS, MAX_PATH_LEN, MAX_ROUTES, MAX_WEIGHT};
use crate::{CallContract, FaultKind, RouteContract, ServiceContract, is_plain_path};

const FIELDS: &[&str] = &[
    "host",
    "path",
    "importance",
    "idempotent",
    "open",
    "deadline_ms",
    "target_ms",
    "attempts",
    "backends",
];

/// Reads the routes and checks that their backends are listed services.
pub(crate) fn read_routes(
    reader: &FieldReader<'_>,
    services: &BTreeMap<ServiceName, ServiceContract>,
    faults: &mut FaultList<'_>,
) -> BTreeMap<CallName, RouteContract> {
    let mut routes = BTreeMap::new();
    let Some((entries, span)) = reader.table("routes", faults) else {
        return routes;
    };
    if entries.len() > MAX_ROUTES {
        faults.push(FaultKind::TooManyRoutes(entries.len()), span);
        return routes;
    }
    for (key, value) in entries {
        let entry = read_entry("route", CallName::parse, key, value, faults);
        let Some((name, table)) = entry else { continue };
        let Some(route) = read_route(&name, table, key.span(), services, faults) else {
            continue;
        };
        check_duplicate(&name, &route, &routes, key.span(), faults);
        routes.insert(name, route);
    }
    routes
}

fn read_route<'t>(
    name: &CallName,
    table: &'t DeTable<'t>,
    span: Range<usize>,
    services: &BTreeMap<ServiceName, ServiceContract>,
    faults: &mut FaultList<'_>,
) -> Option<RouteContract> {
    let location = format!("route \"{name}\"");
    let reader = FieldReader::new(table, location, span.clone(), FIELDS, faults);
    let host = read_host(&reader, faults);
    let path = read_path(&reader, faults);
    let importance = read_importance(&reader, faults);
    let idempotent = reader.flag("idempotent", faults).unwrap_or(false);
    let open = reader.flag("open", faults).unwrap_or(false);
    let deadline_ms = reader.number("deadline_ms", 1..=MAX_DEADLINE_MS, faults);
    let target_ms = reader.number("target_ms", 0..=MAX_DEADLINE_MS, faults);
    let attempts = reader.number("attempts", 1..=u64::from(MAX_ATTEMPTS), faults);
    let backends = read_backends(name, &reader, services, faults);
    if backends.is_empty() {
        faults.push(FaultKind::NoBackends(name.to_string()), span);
    }
    let attempts = attempts.and_then(|attempts| u32::try_from(attempts).ok());
    Some(RouteContract {
        host: host?,
        path: path?,
        importance,
        idempotent,
        open,
        deadline_ms: deadline_ms.unwrap_or(CallContract::DEFAULT_DEADLINE_MS),
        target_ms: target_ms.unwrap_or(0),
        attempts: attempts.unwrap_or(CallContract::DEFAULT_ATTEMPTS),
        backends,
    })
}

fn read_host(reader: &FieldReader<'_>, faults: &mut FaultList<'_>) -> Option<Arc<str>> {
    let host = reader.required_text("host", faults)?;
    let is_host_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    if !host.text.is_empty() && host.text.bytes().all(is_host_byte) {
        return Some(host.text.into());
    }
    faults.push(FaultKind::BadHost(shorten(host.text)), host.span);
    None
}

fn read_path(reader: &FieldReader<'_>, faults: &mut FaultList<'_>) -> Option<Arc<str>> {
    let path = reader.required_text("path", faults)?;
    let is_prefix = path.text.starts_with('/') && path.text.ends_with('/');
    if is_prefix && path.text.len() <= MAX_PATH_LEN && is_plain_path(path.text) {
        return Some(path.text.into());
    }
    faults.push(FaultKind::BadPrefix(shorten(path.text)), path.span);
    None
}

fn read_backends(
    route: &CallName,
    reader: &FieldReader<'_>,
    services: &BTreeMap<ServiceName, ServiceContract>,
    faults: &mut FaultList<'_>,
) -> BTreeMap<ServiceName, u32> {
    let mut backends = BTreeMap::new();
    let Some((entries, span)) = reader.table("backends", faults) else {
        return backends;
    };
    let location = format!("backends of route \"{route}\"");
    let weights = FieldReader::with_any_fields(entries, location, span);
    for key in entries.keys() {
        let service = key.get_ref().as_ref();
        if !services.contains_key(service) {
            let fault = FaultKind::UnknownBackend {
                route: route.to_string(),
                service: shorten(service),
            };
            faults.push(fault, key.span());
            continue;
        }
        let weight = weights.number(service, 0..=u64::from(MAX_WEIGHT), faults);
        let weight = weight.and_then(|weight| u32::try_from(weight).ok());
        backends.extend(weight.map(|weight| (ServiceName::new(service), weight)));
    }
    backends
}

/// Reports a route that has the same host and path as an earlier one.
fn check_duplicate(
    name: &CallName,
    route: &RouteContract,
    earlier: &BTreeMap<CallName, RouteContract>,
    span: Range<usize>,
    faults: &mut FaultList<'_>,
) {
    let is_same = |other: &RouteContract| other.host == route.host && other.path == route.path;
    let Some((first, _)) = earlier.iter().find(|(_, other)| is_same(other)) else {
        return;
    };
    let fault = FaultKind::DuplicateRoute {
        first: first.to_string(),
        second: name.to_string(),
    };
    faults.push(fault, span);
}
