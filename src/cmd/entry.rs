//! The command `entry`, which runs an entry host until a signal stops it.

use std::process::ExitCode;

use eyre::WrapErr;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use transport::entry::EntryHost;

use crate::settings::EntrySettings;
use crate::{cli, logs, settings};

const EXIT_SETTINGS: u8 = 2;

/// Runs an entry host; exits with 0 after a signal, once the host has drained.
///
/// # Errors
///
/// Fails if the host can't listen on one of its ports.
pub fn run(flags: cli::Entry) -> eyre::Result<ExitCode> {
    match settings::check(flags) {
        Ok(checked) => serve(checked),
        Err(errors) => {
            eprintln!("error: invalid settings:");
            for error in errors {
                eprintln!("  {error}");
            }
            Ok(ExitCode::from(EXIT_SETTINGS))
        }
    }
}

fn serve(checked: EntrySettings) -> eyre::Result<ExitCode> {
    logs::start(checked.level)?;
    let runtime = runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let entry = EntryHost::start(checked.host)
            .await
            .wrap_err("the entry host can't start")?;
        println!("{}", serde_json::to_string(&entry.ports())?);
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        entry.drain().await;
        Ok(ExitCode::SUCCESS)
    })
}
