use std::net::SocketAddr;

use log::LevelFilter;
use model::{CentreName, ServiceName, TeamName};
use streams::KeyDigest;
use wire::FleetSecret;

const NAME: &str = "1 to 63 lower-case letters, digits and inner hyphens";

/// A type that a setting or an argument can have.
pub(crate) trait SettingValue: Sized {
    /// What the text must be, as an error says it.
    const EXPECTED: &'static str;

    /// Whether errors must not show the text.
    const IS_SECRET: bool = false;

    /// Reads the text, or returns `None` when it isn't what is expected.
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
    const EXPECTED: &'static str = NAME;

    fn parse_setting(text: &str) -> Option<Self> {
        Self::parse(text).ok()
    }
}

impl SettingValue for CentreName {
    const EXPECTED: &'static str = NAME;

    fn parse_setting(text: &str) -> Option<Self> {
        Self::parse(text).ok()
    }
}

impl SettingValue for TeamName {
    const EXPECTED: &'static str = NAME;

    fn parse_setting(text: &str) -> Option<Self> {
        Self::parse(text).ok()
    }
}

impl SettingValue for KeyDigest {
    const EXPECTED: &'static str = "64 hexadecimal digits";
    /// A key given by mistake in place of its digest must not be shown.
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
