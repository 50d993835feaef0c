use std::fmt;

/// The error of one setting or argument.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SettingError {
    /// A required argument is missing.
    MissingArgument(&'static str),
    /// A required setting is missing.
    MissingSetting {
        flag: &'static str,
        variable: String,
    },
    /// A setting in the platform's file is missing or invalid.
    InFile { path: String, problem: String },
    /// A value can't be parsed; `found` is `None` for secrets, which must not be shown.
    BadValue {
        origin: String,
        expected: &'static str,
        found: Option<String>,
    },
}

impl fmt::Display for SettingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingArgument(name) => write!(formatter, "{name} is missing"),
            Self::MissingSetting { flag, variable } => {
                write!(formatter, "--{flag} is missing; give it or set {variable}")
            }
            Self::InFile { path, problem } => write!(formatter, "{path}: {problem}"),
            Self::BadValue {
                origin,
                expected,
                found,
            } => {
                write!(formatter, "{origin} must be {expected}")?;
                match found {
                    Some(found) => write!(formatter, ", not \"{found}\""),
                    None => Ok(()),
                }
            }
        }
    }
}

/// All errors of the settings and arguments of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SettingErrors(pub(crate) Vec<SettingError>);

impl fmt::Display for SettingErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let texts: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&texts.join("\nerror: "))
    }
}

impl std::error::Error for SettingErrors {}
