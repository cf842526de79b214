//! `stand-in backend`: backend servers' stand-ins as a process.

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;

use derives::value;
use eyre::{Context, Result, ensure};
use stand_ins::backend::{Backend, Control, Options};
use stand_ins::history::History;

/// What `stand-in backend` is asked to do.
#[value]
pub struct Args {
    /// Where to listen, one backend server each. Port 0 takes any free port.
    pub addresses: Vec<SocketAddr>,
    /// Where to set faults and read the journal.
    pub control: SocketAddr,
    /// What each is like.
    pub options: Options,
}

/// Runs backend servers until the process is ended by SIGTERM or SIGINT.
///
/// Prints one line `backend IP:PORT` each, then `control IP:PORT`.
///
/// # Errors
///
/// Fails where an address can't be listened on.
pub fn run(args: &Args) -> Result<ExitCode> {
    ensure!(
        !args.addresses.is_empty(),
        "no address to listen on: give at least one --address IP:PORT"
    );
    let runtime = tokio::runtime::Runtime::new().wrap_err("can't start the runtime")?;
    runtime.block_on(async {
        let history = History::default();
        let mut backends = Vec::new();
        for address in &args.addresses {
            let listener = listen(*address)?;
            let backend = Backend::start(listener, args.options.clone(), history.clone())?;
            println!("backend {}", backend.address());
            backends.push(backend);
        }
        let listener = listen(args.control)?;
        println!("control {}", listener.local_addr()?);
        let _control = Control::start(listener, &backends, history)?;
        until_told().await?;
        Ok(ExitCode::SUCCESS)
    })
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("can't listen on {address}"))
}

async fn until_told() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
