//! The command `demo`, which runs the whole system on this machine.

use std::process::ExitCode;

use eyre::{Result, WrapErr};
use log::LevelFilter;
use stand_ins::demo::Demo;

use crate::{cli, logs};

/// Runs the demo.
///
/// Exits with 1 if a guarantee was violated, or if a call broke off, had an unknown
/// outcome or found no connection.
///
/// # Errors
///
/// Fails if a component of the demo can't be started.
pub fn run(flags: &cli::Demo) -> Result<ExitCode> {
    logs::start(LevelFilter::Warn)?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("can't start the runtime")?;
    runtime.block_on(async {
        let demo = Demo::start(flags.seconds).await?;
        if !flags.json {
            println!("{}\n", demo.addresses().join("\n"));
        }
        let quiet = flags.json;
        let shown = demo
            .drive(move |line| {
                if !quiet {
                    println!("{line}");
                }
            })
            .await;
        match flags.json {
            true => println!("{}", serde_json::to_string_pretty(&shown)?),
            false => println!("\n{}", shown.table()),
        }
        if flags.keep {
            wait_for_interrupt(&demo).await?;
        }
        demo.stop().await;
        Ok(match shown.is_good() {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        })
    })
}

async fn wait_for_interrupt(demo: &Demo) -> Result<()> {
    eprintln!("\nrunning until Ctrl-C; try:");
    for line in demo.hints() {
        eprintln!("  {line}");
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}
