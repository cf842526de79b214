//! Sets up logging.

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Starts logging to standard error, with one numbered event per line.
///
/// # Errors
///
/// Fails if logging is already set up in this process.
pub fn start(level: LevelFilter) -> eyre::Result<()> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .build();
    TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never)?;
    Ok(())
}
