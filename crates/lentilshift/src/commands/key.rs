use std::net::SocketAddr;

use contract::KeyDigest;
use model::TeamName;

use crate::args::{GrantArgs, KeyArgs, KeyCommand, WithdrawArgs};
use crate::command_error::CommandError;
use crate::setting_reader::SettingReader;

/// Runs the command of `key` that is named.
pub(crate) fn run_key(args: &KeyArgs) -> Result<(), CommandError> {
    match &args.command {
        Some(KeyCommand::Grant(args)) => run_grant(args),
        Some(KeyCommand::Withdraw(args)) => run_withdraw(args),
        None => Err(CommandError::NoCommand("key ")),
    }
}

fn run_grant(args: &GrantArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let team: Option<TeamName> = reader.argument("TEAM", args.team.as_deref());
    let platform: Option<SocketAddr> = reader.required("platform", args.platform.as_deref());
    let _settings = reader.finish(team.zip(platform))?;
    Err(CommandError::NotBuilt("key grant"))
}

fn run_withdraw(args: &WithdrawArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let digest: Option<KeyDigest> = reader.argument("DIGEST", args.digest.as_deref());
    let platform: Option<SocketAddr> = reader.required("platform", args.platform.as_deref());
    let _settings = reader.finish(digest.zip(platform))?;
    Err(CommandError::NotBuilt("key withdraw"))
}
