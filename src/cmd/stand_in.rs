//! The commands `stand-in log` and `stand-in backend`, which run external systems as processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process::ExitCode;

use eyre::{Result, WrapErr, ensure};
use log::LevelFilter;
use stand_ins::backend::{Backend, Control, Options};
use stand_ins::history::History;
use stand_ins::store::{Behaviour, StoreStandIn};

use crate::cli::{self, StandInCmd};
use crate::logs;

/// The loopback address with any free port.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Runs the stand-in that `flags` select until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the stand-in can't listen on an address.
pub fn run(flags: cli::StandIn) -> Result<ExitCode> {
    logs::start(LevelFilter::Info)?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("can't start the runtime")?;
    runtime.block_on(async {
        match flags.subcommand {
            StandInCmd::Log(flags) => run_log(&flags).await?,
            StandInCmd::Backend(flags) => run_backends(&flags).await?,
        }
        Ok(ExitCode::SUCCESS)
    })
}

/// Runs a stand-in of the platform's store; prints a line `log IP:PORT` once it listens.
async fn run_log(flags: &cli::Log) -> Result<()> {
    let defaults = Behaviour::default();
    let behaviour = Behaviour {
        keep_records: flags.retain.or(defaults.keep_records),
        appends_second: flags.appends.unwrap_or(defaults.appends_second),
        ..defaults
    };
    let log = StoreStandIn::start(listen(flags.address.unwrap_or(ANY_PORT))?, behaviour)?;
    println!("log {}", log.address());
    wait_for_signal().await
}

/// Runs stand-ins of backend servers.
///
/// Prints a line `backend IP:PORT` for each, then a line `control IP:PORT`.
async fn run_backends(flags: &cli::Backend) -> Result<()> {
    ensure!(
        !flags.address.is_empty(),
        "no address to listen on: give at least one --address IP:PORT"
    );
    let defaults = Options::default();
    let options = Options {
        slots: flags.slots.unwrap_or(defaults.slots),
        cold_slots: flags.cold_slots.unwrap_or(defaults.cold_slots),
        cold: flags.cold,
        ..defaults
    };
    let history = History::default();
    let mut backends = Vec::new();
    for address in &flags.address {
        let backend = Backend::start(listen(*address)?, options.clone(), history.clone())?;
        println!("backend {}", backend.address());
        backends.push(backend);
    }
    let listener = listen(flags.control_address.unwrap_or(ANY_PORT))?;
    println!("control {}", listener.local_addr()?);
    let _control = Control::start(listener, &backends, history)?;
    wait_for_signal().await
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("can't listen on {address}"))
}

async fn wait_for_signal() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
