use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::command_error::CommandError;

/// The format of a log line: key=value pairs, one line per event.
const LINE_PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

const CONSOLE: &str = "console";

/// Initializes logging of the process to standard output.
pub(crate) fn start_log(level: LevelFilter) -> Result<(), CommandError> {
    let encoder = Box::new(PatternEncoder::new(LINE_PATTERN));
    let console = ConsoleAppender::builder().encoder(encoder).build();
    let appender = Appender::builder().build(CONSOLE, Box::new(console));
    let root = Root::builder().appender(CONSOLE).build(level);
    let config = Config::builder().appender(appender).build(root);
    let config = config.map_err(|error| CommandError::Logging(error.to_string()))?;
    let initialized = log4rs::init_config(config);
    initialized
        .map(drop)
        .map_err(|error| CommandError::Logging(error.to_string()))
}
