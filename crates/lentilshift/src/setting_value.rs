use std::net::SocketAddr;

use log::LevelFilter;
use model::{CentreName, ServiceName, TeamName};
use streams::KeyDigest;
use wire::FleetSecret;

/// The expected format of names.
const NAME_FORMAT: &str = "1 to 63 lower-case letters, digits and inner hyphens";

/// A type that can be parsed from a setting or argument.
pub(crate) trait SettingValue: Sized {
    /// The expected format, as shown in error messages.
    const EXPECTED: &'static str;

    /// Whether error messages must not show the text.
    const IS_SECRET: bool = false;

    /// Parses the text; returns `None` when it doesn't have the expected format.
    fn parse_setting(text: &str) -> Option<Self>;
}

impl SettingValue for String {
    const EXPECTED: &'static str = "a text that isn't empty";

    fn parse_setting(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| text.to_owned())
    }
}

impl SettingValue for u64 {
    const EXPECTED: &'static str = "a whole number";

    fn parse_setting(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl SettingValue for u32 {
    const EXPECTED: &'static str = "a whole number";

    fn parse_setting(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl SettingValue for LevelFilter {
    const EXPECTED: &'static str = "off, error, warn, info, debug or trace";

    fn parse_setting(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl SettingValue for bool {
    const EXPECTED: &'static str = "true or false";

    fn parse_setting(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl SettingValue for SocketAddr {
    const EXPECTED: &'static str = "an address such as 10.0.0.1:7000";

    fn parse_setting(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl SettingValue for ServiceName {
    const EXPECTED: &'static str = NAME_FORMAT;

    fn parse_setting(text: &str) -> Option<Self> {
        Self::parse(text).ok()
    }
}

impl SettingValue for CentreName {
    const EXPECTED: &'static str = NAME_FORMAT;

    fn parse_setting(text: &str) -> Option<Self> {
        Self::parse(text).ok()
    }
}

impl SettingValue for TeamName {
    const EXPECTED: &'static str = NAME_FORMAT;

    fn parse_setting(text: &str) -> Option<Self> {
        Self::parse(text).ok()
    }
}

impl SettingValue for KeyDigest {
    const EXPECTED: &'static str = "64 hexadecimal digits";
    /// A key that is passed by mistake instead of its digest must not be shown.
    const IS_SECRET: bool = true;

    fn parse_setting(text: &str) -> Option<Self> {
        Self::parse(text)
    }
}

impl SettingValue for FleetSecret {
    const EXPECTED: &'static str = "a secret of 16 bytes or more";
    const IS_SECRET: bool = true;

    fn parse_setting(text: &str) -> Option<Self> {
        Self::new(text).ok()
    }
}
