//! The command `serve`, which runs an entry host on the platform until a signal stops it.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use log::LevelFilter;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};
use transport::gateway::{Gateway, Settings};

use crate::{cli, logs, settings_file};

/// Exit code for invalid settings.
pub const EXIT_SETTINGS: u8 = 2;

/// How often the settings file is checked for changes, in addition to a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Runs an entry host; exits with 0 after a signal, once the host has drained.
///
/// # Errors
///
/// Fails if the host can't listen on one of its ports.
pub fn run(flags: cli::Serve) -> eyre::Result<ExitCode> {
    let level = match flags.log_level.as_deref().map(str::parse::<LevelFilter>) {
        None => LevelFilter::Info,
        Some(Ok(level)) => level,
        Some(Err(_)) => {
            print_errors(&["--log-level: must be error, warn, info, debug or trace".to_owned()]);
            return Ok(ExitCode::from(EXIT_SETTINGS));
        }
    };
    let read = settings_file::path(flags.settings).and_then(|p| Ok((settings_file::read(&p)?, p)));
    match read {
        Ok((settings, path)) => serve(settings, &path, level),
        Err(errors) => {
            print_errors(&errors);
            Ok(ExitCode::from(EXIT_SETTINGS))
        }
    }
}

/// Prints the errors of a settings file.
pub fn print_errors(errors: &[String]) {
    eprintln!("error: invalid settings:");
    for error in errors {
        eprintln!("  {error}");
    }
}

fn serve(settings: Settings, path: &Path, level: LevelFilter) -> eyre::Result<ExitCode> {
    logs::start(level)?;
    // One thread is enough, since a host has a fraction of a core, and the state needs no locks.
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let gateway = Gateway::start(settings.clone())
            .await
            .wrap_err("the entry host can't start")?;
        println!("{}", serde_json::to_string(&gateway.ports())?);
        spawn_local(watch_settings(
            path.to_owned(),
            settings,
            Rc::clone(&gateway),
        ));
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        gateway.drain().await;
        Ok(ExitCode::SUCCESS)
    })
}

/// Applies changes of the settings file, periodically and on SIGHUP.
///
/// The limits that operators set and the maximum number of callers change at once.
/// Names, addresses and the store stay the same while the process runs: a change of
/// them is logged and takes effect at the next start.
async fn watch_settings(path: PathBuf, started: Settings, gateway: Rc<Gateway>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!("E0506 signal-unavailable signal=SIGHUP");
        return;
    };
    let mut ticks = interval(RELOAD_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut seen = started;
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("E0507 settings-reload-requested"),
            _ = ticks.tick() => {}
        }
        match settings_file::read(&path) {
            Ok(now) if now == seen => {}
            Ok(now) => {
                if now.live != seen.live {
                    log::info!("E0510 settings-reloaded live={:?}", now.live);
                    gateway.reload(now.live.clone());
                }
                seen.live = now.live.clone();
                if now != seen {
                    log::warn!(
                        "E0508 settings-changed; the other changes take effect at the next start"
                    );
                }
                seen = now;
            }
            Err(errors) => log::warn!("E0509 settings-invalid faults={errors:?}"),
        }
    }
}
