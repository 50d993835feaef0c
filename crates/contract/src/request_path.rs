/// Returns whether a path is unambiguous, so that every backend server interprets it as the
/// contract does.
///
/// Some backend servers remove dot segments, empty segments and `;` parameters, or decode escaped
/// characters, before they route a request. A path with any of these could match a call that
/// needs no key but run another one, so such a path matches no call.
///
/// # Examples
///
/// ```
/// use lentilshift_contract::is_plain_path;
///
/// assert!(is_plain_path("/records/caf%C3%A9"));
/// assert!(!is_plain_path("/status/../filings"));
/// assert!(!is_plain_path("/status/%2e%2e/filings"));
/// ```
#[must_use]
pub fn is_plain_path(path: &str) -> bool {
    let Some(segments) = path.strip_prefix('/') else {
        return false;
    };
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'\\' | b';' | b'#');
    path.bytes().all(is_allowed) && has_plain_segments(segments) && has_plain_escapes(path)
}

fn has_plain_segments(segments: &str) -> bool {
    let inner = segments.strip_suffix('/').unwrap_or(segments);
    if inner.is_empty() {
        return segments.is_empty();
    }
    inner
        .split('/')
        .all(|segment| !matches!(segment, "" | "." | ".."))
}

fn has_plain_escapes(path: &str) -> bool {
    path.split('%').skip(1).all(|rest| {
        let code = rest.get(..2).filter(|code| is_hex(code));
        code.and_then(|code| u8::from_str_radix(code, 16).ok())
            .is_some_and(may_be_escaped)
    })
}

fn is_hex(code: &str) -> bool {
    code.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Returns whether a byte may be escaped: decoding it must not change the structure of the path,
/// and it must not be a character that needs no escaping.
const fn may_be_escaped(byte: u8) -> bool {
    let is_unreserved = byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~');
    let is_delimiter = matches!(byte, b'/' | b'\\' | b';' | b'%');
    !is_unreserved && !is_delimiter && !byte.is_ascii_control()
}
