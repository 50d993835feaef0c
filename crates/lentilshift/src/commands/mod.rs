//! The commands, one module each.

pub(crate) mod check;
pub(crate) mod demo;
pub(crate) mod dump;
pub(crate) mod evacuate;
pub(crate) mod key;
pub(crate) mod node;
pub(crate) mod publish;
pub(crate) mod show;

mod contract_file;
mod file_settings;
