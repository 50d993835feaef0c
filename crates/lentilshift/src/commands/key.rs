use std::net::SocketAddr;

use contract::FleetContract;
use model::TeamName;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use streams::{ConfigRecord, KeyDigest};

use crate::args::{GrantArgs, KeyArgs, KeyCommand, WithdrawArgs};
use crate::command_error::CommandError;
use crate::config_client::ConfigClient;
use crate::setting_reader::SettingReader;

/// The prefix of every key, by which scanners for leaked secrets can recognize it.
const KEY_PREFIX: &str = "lsk-";

/// Runs a subcommand of `key`.
pub(crate) async fn run_key(args: &KeyArgs) -> Result<(), CommandError> {
    match &args.command {
        Some(KeyCommand::Grant(args)) => run_grant(args).await,
        Some(KeyCommand::Withdraw(args)) => run_withdraw(args).await,
        None => Err(CommandError::NoCommand("key ")),
    }
}

async fn run_grant(args: &GrantArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let team: Option<TeamName> = reader.argument("TEAM", args.team.as_deref());
    let platform: Option<SocketAddr> = reader.required("platform", args.platform.as_deref());
    let (team, platform) = reader.finish(team.zip(platform))?;

    let mut client = ConfigClient::connect(platform).await?;
    check_team(&client, &team)?;
    let key = new_key();
    let digest = KeyDigest::of_key(key.as_bytes());
    let team_name = team.clone();
    let record = ConfigRecord::Grant { digest, team };
    let advice = format!("to be safe: lentilshift key withdraw {digest}");
    client.submit(&record, &advice).await?;
    println!("key={key}\ndigest={digest}\nteam={team_name}");
    Ok(())
}

async fn run_withdraw(args: &WithdrawArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let digest: Option<KeyDigest> = reader.argument("DIGEST", args.digest.as_deref());
    let platform: Option<SocketAddr> = reader.required("platform", args.platform.as_deref());
    let (digest, platform) = reader.finish(digest.zip(platform))?;

    let mut client = ConfigClient::connect(platform).await?;
    let team = client.fold().keys().team(&digest).cloned();
    let record = ConfigRecord::Withdraw { digest };
    let outcome = client.submit(&record, "run the same command again").await?;
    println!("{outcome}");
    match team {
        Some(team) => println!("team={team}"),
        None => eprintln!("no key with this digest was in force; check the digest"),
    }
    Ok(())
}

fn check_team(client: &ConfigClient, team: &TeamName) -> Result<(), CommandError> {
    let text = &client.fold().in_force().text;
    let contract = FleetContract::parse("contract in force", text);
    let is_known = contract.is_ok_and(|contract| contract.teams.contains_key(team));
    if is_known {
        return Ok(());
    }
    Err(CommandError::UnknownTeam(team.clone()))
}

/// Creates a random key of 256 bits.
pub(crate) fn new_key() -> String {
    let mut random = StdRng::from_os_rng();
    let (high, low): (u128, u128) = random.random();
    format!("{KEY_PREFIX}{high:032x}{low:032x}")
}
