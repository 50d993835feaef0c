use std::ops::Range;
use std::sync::Arc;

use model::{CallImportance, CallName};
use toml::de::DeTable;

use crate::fault_list::{FaultList, shorten};
use crate::field_reader::FieldReader;
use crate::text_bounds::{KNOWN_METHODS, MAX_ATTEMPTS, MAX_DEADLINE_MS, MAX_PATH_LEN};
use crate::{CallContract, FaultKind, is_plain_path};

const FIELDS: &[&str] = &[
    "method",
    "path",
    "importance",
    "idempotent",
    "once",
    "open",
    "deadline_ms",
    "target_ms",
    "attempts",
];

/// Reads the table of one call, or returns `None` when its method or path is invalid.
pub(crate) fn read_call<'t>(
    name: &CallName,
    table: &'t DeTable<'t>,
    span: Range<usize>,
    faults: &mut FaultList<'_>,
) -> Option<CallContract> {
    let location = format!("call \"{name}\"");
    let reader = FieldReader::new(table, location, span.clone(), FIELDS, faults);
    let method = read_method(&reader, faults);
    let path = read_path(&reader, faults);
    let importance = read_importance(&reader, faults);
    let once = reader.flag("once", faults).unwrap_or(false);
    let open = reader.flag("open", faults).unwrap_or(false);
    let idempotent = reader.flag("idempotent", faults);
    let deadline_ms = reader.number("deadline_ms", 1..=MAX_DEADLINE_MS, faults);
    let target_ms = reader.number("target_ms", 0..=MAX_DEADLINE_MS, faults);
    let attempts = reader.number("attempts", 1..=u64::from(MAX_ATTEMPTS), faults);
    let attempts = attempts.and_then(|attempts| u32::try_from(attempts).ok());
    if once && idempotent == Some(true) {
        faults.push(FaultKind::OnceAndIdempotent(name.to_string()), span.clone());
    }
    if once && open {
        faults.push(FaultKind::OnceAndOpen(name.to_string()), span);
    }
    let method = method?;
    let is_safe = CallContract::is_safe_method(method.as_deref());
    Some(CallContract {
        method,
        path: path?,
        importance,
        once,
        idempotent: idempotent.unwrap_or(is_safe && !once),
        open,
        deadline_ms: deadline_ms.unwrap_or(CallContract::DEFAULT_DEADLINE_MS),
        target_ms: target_ms.unwrap_or(0),
        attempts: attempts.unwrap_or(CallContract::DEFAULT_ATTEMPTS),
    })
}

/// Reads the method: `Some(None)` when it is absent, `None` when it is invalid.
#[expect(
    clippy::option_option,
    reason = "an absent method differs from an invalid one"
)]
fn read_method(reader: &FieldReader<'_>, faults: &mut FaultList<'_>) -> Option<Option<Arc<str>>> {
    let Some(method) = reader.text("method", faults) else {
        return Some(None);
    };
    if KNOWN_METHODS.contains(&method.text) {
        return Some(Some(method.text.into()));
    }
    faults.push(FaultKind::UnknownMethod(shorten(method.text)), method.span);
    None
}

fn read_path(reader: &FieldReader<'_>, faults: &mut FaultList<'_>) -> Option<Arc<str>> {
    let Some(path) = reader.text("path", faults) else {
        return Some(CallContract::DEFAULT_PATH.into());
    };
    if is_call_path(path.text) {
        return Some(path.text.into());
    }
    faults.push(FaultKind::BadPath(shorten(path.text)), path.span);
    None
}

fn is_call_path(path: &str) -> bool {
    let has_plain_end = path == "/" || !path.ends_with('/');
    let is_path_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || b"/-._~!$&'()*+,=:@".contains(&byte);
    path.len() <= MAX_PATH_LEN
        && has_plain_end
        && path.bytes().all(is_path_byte)
        && is_plain_path(path)
}

/// Reads the optional importance of a call, route or team.
pub(crate) fn read_optional_importance(
    reader: &FieldReader<'_>,
    faults: &mut FaultList<'_>,
) -> Option<CallImportance> {
    let field = reader.text("importance", faults)?;
    let mut known = CallImportance::ALL.into_iter();
    let importance = known.find(|importance| importance.as_str() == field.text);
    if importance.is_none() {
        let fault = FaultKind::UnknownImportance(shorten(field.text));
        faults.push(fault, field.span);
    }
    importance
}

/// Reads the importance of a call or route, or returns the default when it is absent.
pub(crate) fn read_importance(
    reader: &FieldReader<'_>,
    faults: &mut FaultList<'_>,
) -> CallImportance {
    read_optional_importance(reader, faults).unwrap_or_default()
}
