use crate::args::DemoArgs;
use crate::command_error::CommandError;
use crate::setting_reader::SettingReader;

/// Runs a small fleet in this process.
pub(crate) fn run_demo(args: &DemoArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let stay = reader.switch("stay", args.stay);
    let _stay = reader.finish(Some(stay))?;
    Err(CommandError::NotBuilt("demo"))
}
