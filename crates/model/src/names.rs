use std::fmt;

use crate::shared_name::shared_name;

/// The maximum length of a name, in bytes.
const MAX_NAME_LEN: usize = 63;

shared_name!(
    /// The name of a service.
    ServiceName
);
shared_name!(
    /// The name of a call, which is one kind of request of a service, or of a route.
    CallName
);
shared_name!(
    /// The name of a team, which is a tenant that API keys belong to.
    TeamName
);
shared_name!(
    /// The name of one start of a node: that of its VM, a separator and a unique suffix.
    ///
    /// Every start of a node gets a new name, so that it is never confused with an earlier one.
    VmName
);
shared_name!(
    /// The name of a data centre.
    CentreName
);

impl VmName {
    /// The separator between the name of a VM and the suffix of one start of its node.
    pub const START_SEPARATOR: char = '.';

    /// Returns the name of the VM without the start suffix; all starts of its node share it.
    ///
    /// A name without a separator is returned whole.
    #[must_use]
    pub fn without_start(&self) -> &str {
        let name = self.as_str();
        name.split_once(Self::START_SEPARATOR)
            .map_or(name, |(vm, _)| vm)
    }
}

/// The error of parsing a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    Empty,
    /// The name is longer than 63 bytes; holds its length.
    TooLong(usize),
    /// The name contains this character, which isn't allowed.
    BadCharacter(char),
    /// The name starts or ends with a hyphen.
    OuterHyphen,
}

impl fmt::Display for NameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => formatter.write_str("a name can't be empty"),
            Self::TooLong(len) => write!(
                formatter,
                "a name has at most {MAX_NAME_LEN} characters, this one has {len}"
            ),
            Self::BadCharacter(character) => write!(
                formatter,
                "a name has lower-case letters, digits and hyphens, not {character:?}"
            ),
            Self::OuterHyphen => formatter.write_str("a name can't start or end with a hyphen"),
        }
    }
}

impl std::error::Error for NameError {}

fn check_name(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_LEN {
        return Err(NameError::TooLong(name.len()));
    }
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if let Some(character) = name.chars().find(|c| !is_allowed(*c)) {
        return Err(NameError::BadCharacter(character));
    }
    if name.starts_with('-') || name.ends_with('-') {
        return Err(NameError::OuterHyphen);
    }
    Ok(())
}
