use std::fmt;

/// What is wrong with one setting or argument.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SettingFault {
    /// An argument that must be there is missing.
    MissingArgument(&'static str),
    /// A setting that must be there is missing.
    MissingSetting {
        flag: &'static str,
        variable: String,
    },
    /// A setting of the platform's file is at fault.
    InFile { path: String, problem: String },
    /// A value can't be read; what was found is left out for secrets.
    BadValue {
        origin: String,
        expected: &'static str,
        found: Option<String>,
    },
}

impl fmt::Display for SettingFault {
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

/// All that is wrong with the settings and arguments of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SettingFaults(pub(crate) Vec<SettingFault>);

impl fmt::Display for SettingFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let texts: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&texts.join("\nerror: "))
    }
}

impl std::error::Error for SettingFaults {}
