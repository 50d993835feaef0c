use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::command_error::CommandError;

/// One line of key=value pairs for each event.
const LINE_PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// The name of the only appender.
const CONSOLE: &str = "console";

/// Starts to write the process's log to standard output.
pub(crate) fn start_log(level: LevelFilter) -> Result<(), CommandError> {
    let encoder = Box::new(PatternEncoder::new(LINE_PATTERN));
    let console = ConsoleAppender::builder().encoder(encoder).build();
    let appender = Appender::builder().build(CONSOLE, Box::new(console));
    let root = Root::builder().appender(CONSOLE).build(level);
    let config = Config::builder().appender(appender).build(root);
    let config = config.map_err(|error| CommandError::Logging(error.to_string()))?;
    let started = log4rs::init_config(config);
    started
        .map(drop)
        .map_err(|error| CommandError::Logging(error.to_string()))
}
