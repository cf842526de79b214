//! Sets up logging.

use std::io::{self, Write};
use std::os::fd::AsFd;

use log::LevelFilter;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use simplelog::{ConfigBuilder, WriteLogger};

/// The longest line in bytes; the rest of a longer one is cut off.
///
/// A pipe that takes anything takes this much without blocking.
const MAX_LINE: usize = 4_096;

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
    WriteLogger::init(level, config, LineWriter::default())?;
    Ok(())
}

/// Writes whole lines to standard error, and drops those that its reader leaves no room for.
///
/// One thread serves all requests. If it waited for a reader that has stopped, requests would
/// get their answers seconds after their deadline, and the host would miss its leases.
#[derive(Default)]
struct LineWriter {
    line: Vec<u8>,
    /// Number of lines dropped since the last one that was written.
    dropped: u64,
}

impl LineWriter {
    fn end_line(&mut self) {
        let mut line = std::mem::take(&mut self.line);
        line.truncate(MAX_LINE - 1);
        line.push(b'\n');
        if self.dropped > 0 && is_writable() {
            write_line(&dropped_line(&line, std::mem::take(&mut self.dropped)));
        }
        match is_writable() {
            true => write_line(&line),
            false => self.dropped += 1,
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for byte in bytes {
            match byte {
                b'\n' => self.end_line(),
                byte => self.line.push(*byte),
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the event that tells of dropped lines, with the time of the line that follows it.
fn dropped_line(next: &[u8], dropped: u64) -> Vec<u8> {
    let time: Vec<u8> = next.iter().copied().take_while(|b| *b != b' ').collect();
    let mut line = time;
    line.extend(format!(" [WARN] E0514 log-lines-dropped lines={dropped}\n").bytes());
    line
}

/// Returns whether standard error takes a line without blocking.
fn is_writable() -> bool {
    let stderr = io::stderr();
    let mut fds = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
    // An error means that nothing can be written, and the line is counted as dropped.
    poll(&mut fds, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
}

fn write_line(line: &[u8]) {
    // There is nowhere left to report it.
    let _ = io::stderr().write_all(line);
}
