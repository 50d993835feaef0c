use crate::setting_error::{SettingError, SettingErrors};
use crate::setting_value::SettingValue;

/// The prefix of all environment variables of the command.
const VARIABLE_PREFIX: &str = "LENTILSHIFT_";

/// Reads settings from flags, or else from environment variables, and collects all errors.
#[derive(Debug, Default)]
pub(crate) struct SettingReader {
    errors: Vec<SettingError>,
}

/// The text of a setting and the argument, flag or variable that it was read from.
struct SettingText {
    text: String,
    origin: String,
}

impl SettingReader {
    /// Reads a required argument.
    pub(crate) fn argument<T: SettingValue>(
        &mut self,
        name: &'static str,
        value: Option<&str>,
    ) -> Option<T> {
        let Some(value) = value else {
            self.errors.push(SettingError::MissingArgument(name));
            return None;
        };
        self.parse(SettingText {
            text: value.to_owned(),
            origin: name.to_owned(),
        })
    }

    /// Reads a required setting.
    pub(crate) fn required<T: SettingValue>(
        &mut self,
        flag: &'static str,
        value: Option<&str>,
    ) -> Option<T> {
        let Some(setting) = find_setting(flag, value) else {
            let variable = variable_name(flag);
            self.errors
                .push(SettingError::MissingSetting { flag, variable });
            return None;
        };
        self.parse(setting)
    }

    /// Reads an optional setting.
    pub(crate) fn optional<T: SettingValue>(
        &mut self,
        flag: &'static str,
        value: Option<&str>,
    ) -> Option<T> {
        let setting = find_setting(flag, value)?;
        self.parse(setting)
    }

    /// Reads a list: the flag is repeated for each item, the variable holds them separated by commas.
    pub(crate) fn list<T: SettingValue>(
        &mut self,
        flag: &'static str,
        values: &[String],
    ) -> Vec<T> {
        let flags = values
            .iter()
            .filter_map(|value| find_setting(flag, Some(value)));
        let mut settings: Vec<SettingText> = flags.collect();
        if values.is_empty() {
            let setting = find_setting(flag, None);
            settings = setting.as_ref().map(split_list).unwrap_or_default();
        }
        let parsed = settings
            .into_iter()
            .filter_map(|setting| self.parse(setting));
        parsed.collect()
    }

    /// Reads a switch: the flag turns it on, the variable is `true` or `false`.
    pub(crate) fn switch(&mut self, flag: &'static str, is_given: bool) -> bool {
        if is_given {
            return true;
        }
        self.optional(flag, None).unwrap_or(false)
    }

    /// Returns the value that was built from the settings read.
    ///
    /// # Errors
    ///
    /// Returns all errors found.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, SettingErrors> {
        match value {
            Some(value) if self.errors.is_empty() => Ok(value),
            _ => Err(SettingErrors(self.errors)),
        }
    }

    fn parse<T: SettingValue>(&mut self, setting: SettingText) -> Option<T> {
        let parsed = T::parse_setting(setting.text.trim());
        if parsed.is_none() {
            let found = (!T::IS_SECRET).then_some(setting.text);
            self.errors.push(SettingError::BadValue {
                origin: setting.origin,
                expected: T::EXPECTED,
                found,
            });
        }
        parsed
    }
}

fn find_setting(flag: &str, value: Option<&str>) -> Option<SettingText> {
    if let Some(value) = value {
        return Some(SettingText {
            text: value.to_owned(),
            origin: format!("--{flag}"),
        });
    }
    let origin = variable_name(flag);
    let text = std::env::var_os(&origin)?.to_string_lossy().into_owned();
    Some(SettingText { text, origin })
}

fn split_list(setting: &SettingText) -> Vec<SettingText> {
    let items = setting
        .text
        .split(',')
        .filter(|item| !item.trim().is_empty());
    let texts = items.map(|item| SettingText {
        text: item.to_owned(),
        origin: setting.origin.clone(),
    });
    texts.collect()
}

fn variable_name(flag: &str) -> String {
    let name = flag.replace('-', "_").to_ascii_uppercase();
    format!("{VARIABLE_PREFIX}{name}")
}
