//! Entry hosts as processes, started as the deploy file starts them.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// An entry host; killed when dropped.
pub struct Host {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub callers: SocketAddr,
    /// Where the other hosts reach it.
    pub peers: SocketAddr,
    readiness: SocketAddr,
    process: Child,
}

/// What is the same for all hosts of a deployment.
pub struct Site<'a> {
    /// The program.
    pub program: &'a Path,
    /// The folder for settings files and logs.
    pub folder: &'a Path,
    /// The platform's store.
    pub store: SocketAddr,
}

impl Host {
    /// Starts a host; the first one has no seed, and is the first of a new deployment.
    pub fn start(
        site: &Site,
        name: &str,
        peer_address: SocketAddr,
        seed: Option<SocketAddr>,
    ) -> Host {
        let settings: PathBuf = site.folder.join(format!("{name}.toml"));
        let seeds = seed.map_or(String::new(), |s| format!("\"{s}\""));
        let first = if seed.is_none() {
            "first_start = true\n"
        } else {
            ""
        };
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"riga-a\"\ncaller_address = \"127.0.0.1:0\"\nreadiness_address = \"127.0.0.1:0\"\npeer_address = \"{peer_address}\"\nseeds = [{seeds}]\nlog_address = \"{}\"\n{first}grace_seconds = 6.0\nrepeat_ratio = 0.2\nrepeat_slack = 162.0\nrepeat_window_seconds = 10.0\nprobes_per_second = 42.0\nquota_slack = 20.0\nconfiguration_seconds = 2.5\nrevocation_seconds = 5.0\nfail_closed = false\n[regions]\n\"riga-a\" = \"riga\"\n",
            site.store
        );
        fs::write(&settings, text).expect("the settings file is written");
        let log = File::create(site.folder.join(format!("{name}.log"))).expect("a log file");
        let mut process = Command::new(site.program)
            .arg("serve")
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let output = process.stdout.take().expect("the output is piped");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the output can be read");
        let port = |field: &str| -> SocketAddr {
            let at = line
                .find(&format!("\"{field}\":\""))
                .expect("the port is printed");
            let rest = &line[at + field.len() + 4..];
            rest.split('"')
                .next()
                .and_then(|a| a.parse().ok())
                .expect("an address")
        };
        Host {
            name: name.to_owned(),
            callers: port("callers"),
            peers: port("peers"),
            readiness: port("readiness"),
            process,
        }
    }

    /// Waits until the readiness port answers 200; returns whether it did within 20 s.
    pub fn is_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.readiness() == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn readiness(&self) -> Option<u16> {
        let mut stream = TcpStream::connect(self.readiness).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream
            .write_all(b"GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            .ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        text.split(' ').nth(1)?.parse().ok()
    }

    /// Sends a signal by its name; the process was started by this test.
    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id)
            .status();
        assert!(sent.is_ok_and(|s| s.success()), "the signal is sent");
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        let _status = self.process.wait();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _killed = self.process.kill();
        let _status = self.process.wait();
    }
}
