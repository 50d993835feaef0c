use std::collections::BTreeMap;
use std::ops::Range;

use model::{NameError, ServiceName, TeamName};
use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue, Error};

use crate::call_reader::read_optional_importance;
use crate::dependency_check::{DependencySpans, check_dependencies};
use crate::fault_list::{FaultList, shorten};
use crate::field_reader::{FieldReader, type_name};
use crate::route_reader::read_routes;
use crate::service_reader::read_service;
use crate::text_bounds::{MAX_BURST, MAX_RATE_PER_S, MAX_SERVICES, MAX_TEAMS, MAX_TEXT_LEN};
use crate::{ContractError, FaultKind, FleetContract, ServiceContract, TeamContract};

/// The start of the text, the span of faults that concern the whole text.
const TEXT_START: Range<usize> = 0..0;

/// The top-level tables of the text.
const FIELDS: &[&str] = &["services", "teams", "routes"];

/// Parses and validates the whole text.
pub(crate) fn read_contract(source_name: &str, text: &str) -> Result<FleetContract, ContractError> {
    if text.len() > MAX_TEXT_LEN {
        let mut faults = FaultList::new("");
        faults.push(FaultKind::TextTooLong(text.len()), TEXT_START);
        return Err(faults.into_error(source_name));
    }
    let mut faults = FaultList::new(text);
    let (table, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        push_syntax_faults(&errors, &mut faults);
        return Err(faults.into_error(source_name));
    }
    let contract = read_fleet(table.get_ref(), &mut faults);
    if faults.is_empty() {
        return Ok(contract);
    }
    Err(faults.into_error(source_name))
}

/// Parses a fragment of a text that defines whole services and teams, or returns `None` when it
/// has a fault.
///
/// The dependencies and the number of services aren't checked.
pub(crate) fn read_fragment(text: &str) -> Option<FleetContract> {
    let mut faults = FaultList::new(text);
    let (table, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        return None;
    }
    let location = "the text".into();
    let reader = FieldReader::new(table.get_ref(), location, TEXT_START, FIELDS, &mut faults);
    let entries = reader.table("services", &mut faults);
    let (services, _) = read_entries(entries.map(|(table, _)| table), &mut faults);
    let teams = read_teams(&reader, &mut faults);
    let routes = BTreeMap::new();
    faults.is_empty().then_some(FleetContract {
        services,
        teams,
        routes,
    })
}

/// Returns whether a text and its contract are within the limits for their sizes.
pub(crate) fn is_within_limits(contract: &FleetContract, text: &str) -> bool {
    text.len() <= MAX_TEXT_LEN
        && (1..=MAX_SERVICES).contains(&contract.services.len())
        && contract.teams.len() <= MAX_TEAMS
}

fn push_syntax_faults(errors: &[Error], faults: &mut FaultList<'_>) {
    for error in errors {
        let message = shorten(error.message());
        faults.push(
            FaultKind::Syntax(message),
            error.span().unwrap_or(TEXT_START),
        );
    }
}

fn read_fleet<'t>(table: &'t DeTable<'t>, faults: &mut FaultList<'_>) -> FleetContract {
    if table.is_empty() {
        faults.push(FaultKind::EmptyText, TEXT_START);
        return FleetContract::default();
    }
    let reader = FieldReader::new(table, "the text".into(), TEXT_START, FIELDS, faults);
    let services = read_services(&reader, faults);
    FleetContract {
        teams: read_teams(&reader, faults),
        routes: read_routes(&reader, &services, faults),
        services,
    }
}

fn read_services(
    reader: &FieldReader<'_>,
    faults: &mut FaultList<'_>,
) -> BTreeMap<ServiceName, ServiceContract> {
    let entries = reader.table("services", faults);
    let entries = entries.map(|(table, _)| table);
    let count = entries.map_or(0, DeTable::len);
    if count == 0 {
        faults.push(FaultKind::NoService, TEXT_START);
    }
    if count > MAX_SERVICES {
        faults.push(FaultKind::TooManyServices(count), TEXT_START);
        return BTreeMap::new();
    }
    let (services, dependencies) = read_entries(entries, faults);
    check_dependencies(&services, &dependencies, faults);
    services
}

/// Reads the services and the spans of their dependencies in the text.
fn read_entries(
    entries: Option<&DeTable<'_>>,
    faults: &mut FaultList<'_>,
) -> (BTreeMap<ServiceName, ServiceContract>, DependencySpans) {
    let mut services = BTreeMap::new();
    let mut dependencies = BTreeMap::new();
    for (key, value) in entries.into_iter().flat_map(|table| table.iter()) {
        let Some((name, table)) = read_entry("service", ServiceName::parse, key, value, faults)
        else {
            continue;
        };
        let service = read_service(&name, table, key.span(), faults);
        services.insert(name.clone(), service.contract);
        dependencies.insert(name, service.dependencies);
    }
    (services, dependencies)
}

fn read_teams(
    reader: &FieldReader<'_>,
    faults: &mut FaultList<'_>,
) -> BTreeMap<TeamName, TeamContract> {
    let mut teams = BTreeMap::new();
    let Some((entries, _)) = reader.table("teams", faults) else {
        return teams;
    };
    if entries.len() > MAX_TEAMS {
        faults.push(FaultKind::TooManyTeams(entries.len()), TEXT_START);
        return teams;
    }
    for (key, value) in entries {
        let entry = read_entry("team", TeamName::parse, key, value, faults);
        let Some((name, table)) = entry else { continue };
        let team = read_team(&name, table, key.span(), faults);
        teams.extend(team.map(|team| (name, team)));
    }
    teams
}

fn read_team<'t>(
    name: &TeamName,
    table: &'t DeTable<'t>,
    span: Range<usize>,
    faults: &mut FaultList<'_>,
) -> Option<TeamContract> {
    const FIELDS: &[&str] = &["importance", "rate_per_s", "burst"];
    let reader = FieldReader::new(table, format!("team \"{name}\""), span, FIELDS, faults);
    let importance = read_optional_importance(&reader, faults);
    let rate = reader.required_number("rate_per_s", 1..=u64::from(MAX_RATE_PER_S), faults);
    let burst = reader.required_number("burst", 1..=u64::from(MAX_BURST), faults);
    Some(TeamContract {
        importance,
        rate_per_s: u32::try_from(rate?).ok()?,
        burst: u32::try_from(burst?).ok()?,
    })
}

/// Reads the name and the table of one service, call, team or route.
pub(crate) fn read_entry<'t, N>(
    kind: &'static str,
    parse_name: impl Fn(&str) -> Result<N, NameError>,
    key: &Spanned<DeString<'t>>,
    value: &'t Spanned<DeValue<'t>>,
    faults: &mut FaultList<'_>,
) -> Option<(N, &'t DeTable<'t>)> {
    let name = parse_name(key.get_ref());
    let table = value.get_ref().as_table();
    if let Err(error) = &name {
        let fault = FaultKind::BadName {
            kind,
            name: shorten(key.get_ref()),
            error: error.clone(),
        };
        faults.push(fault, key.span());
    }
    if table.is_none() {
        let fault = FaultKind::WrongType {
            location: format!("{kind} \"{}\"", shorten(key.get_ref())),
            expected: "a table",
            found: type_name(value.get_ref()),
        };
        faults.push(fault, value.span());
    }
    name.ok().zip(table)
}
