//! Starts the log lines of a process.

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Starts logging to standard error, one numbered event a line.
///
/// # Errors
///
/// Fails where the process has started its logs before.
pub fn start(level: LevelFilter) -> eyre::Result<()> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .build();
    TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never)?;
    Ok(())
}
