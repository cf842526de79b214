//! A small site: the store's stand-in and entry hosts, each a process of the project.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Wire;

/// The project's program, as the deploy file builds it.
const PROGRAM: &str = "target/release/cardamomvale";

/// The longest wait until all hosts are ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A service of the site.
pub struct Service {
    pub name: &'static str,
}

/// A route of the site.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub timeout: f64,
    pub aim: f64,
    pub attempts: u32,
    pub service: &'static str,
}

/// Processes that end with this value.
pub struct Site {
    folder: PathBuf,
    /// The address of the store.
    pub store: SocketAddr,
    processes: Vec<Child>,
    /// The addresses on which the entry hosts accept clients.
    pub hosts: Vec<SocketAddr>,
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // A process that has ended already can't be killed.
            let _ = process.kill();
            let _ = process.wait();
        }
        // Their ids may soon be those of other processes.
        let _ = fs::remove_file(self.folder.join("processes"));
    }
}

fn failed(text: String) -> io::Error {
    io::Error::other(text)
}

impl Site {
    /// Starts the store; `folder` takes settings and logs.
    pub fn start(folder: &Path) -> io::Result<Site> {
        let mut process = Command::new(PROGRAM)
            .args(["stand-in", "log", "--address", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .stderr(fs::File::create(folder.join("store.log"))?)
            .spawn()?;
        let line = first_line(&mut process);
        let mut site = Site {
            folder: folder.to_owned(),
            store: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            processes: vec![process],
            hosts: Vec::new(),
        };
        site.note_processes()?;
        let line = line?;
        let address = line.trim().strip_prefix("log ").unwrap_or_default();
        site.store = address
            .parse()
            .map_err(|_| failed(format!("the store printed {line:?}")))?;
        Ok(site)
    }

    /// Writes the ids of the processes, so that the script can end them in any case.
    fn note_processes(&self) -> io::Result<()> {
        let ids: Vec<String> = self.processes.iter().map(|p| p.id().to_string()).collect();
        fs::write(self.folder.join("processes"), ids.join("\n"))
    }

    /// Starts this many entry hosts, which join through the first, and waits until all are
    /// ready.
    pub fn start_hosts(&mut self, count: u8) -> io::Result<()> {
        let ways = vec![self.store; usize::from(count)];
        self.start_hosts_behind(&ways)
    }

    /// Starts a host for each of these addresses at which it finds the store.
    pub fn start_hosts_behind(&mut self, ways: &[SocketAddr]) -> io::Result<()> {
        let id = std::process::id();
        let net = [64 + (id % 150) as u8, (id / 150 % 250) as u8];
        let ip = |number: u8| IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], number));
        let port = free_port(ip(1))?;
        let mut readiness = Vec::new();
        for (number, way) in (1u8..).zip(ways) {
            let peer = SocketAddr::new(ip(number), port);
            let seed = SocketAddr::new(ip(1), port);
            let ports = self.start_host(number, (peer, seed), *way)?;
            readiness.push(ports);
        }
        let limit = Instant::now() + START_LIMIT;
        for address in readiness {
            while !is_ready(address) {
                if Instant::now() > limit {
                    return Err(failed("a host doesn't become ready".to_owned()));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Starts a host with the command of the deploy file; returns its readiness address.
    fn start_host(
        &mut self,
        number: u8,
        (peer, seed): (SocketAddr, SocketAddr),
        store: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let settings = self.folder.join(format!("host-{number}.toml"));
        let text = format!(
            "name = \"edge-{number}\"\ndata_centre = \"here\"\n\
             caller_address = \"127.0.0.1:0\"\nreadiness_address = \"127.0.0.1:0\"\n\
             peer_address = \"{peer}\"\nseeds = [\"{seed}\"]\nlog_address = \"{}\"\n\
             first_start = true\npartitions = 12\nopen_files = 4100\ngrace_seconds = 6\n\
             repeat_ratio = 0.2\nrepeat_slack = 56\nrepeat_window_seconds = 10\n\
             probes_per_second = 60\nconfiguration_seconds = 2\n[regions]\nhere = \"home\"\n",
            store
        );
        fs::write(&settings, text)?;
        let mut process = Command::new(PROGRAM)
            .arg("serve")
            .env("CARDAMOMVALE_SETTINGS", &settings)
            .stdout(Stdio::piped())
            .stderr(fs::File::create(
                self.folder.join(format!("host-{number}.log")),
            )?)
            .spawn()?;
        let line = first_line(&mut process);
        self.processes.push(process);
        self.note_processes()?;
        let line = line?;
        let port = |key: &str| address_in(&line, key);
        let callers = port("callers").ok_or_else(|| failed(format!("a host printed {line:?}")))?;
        self.hosts.push(callers);
        port("readiness").ok_or_else(|| failed(format!("a host printed {line:?}")))
    }

    /// Writes the first configuration.
    pub fn configure(&self, services: &[Service], routes: &[Route]) -> io::Result<()> {
        self.configure_version(1, services, routes)
    }

    /// Writes a configuration.
    pub fn configure_version(
        &self,
        version: u64,
        services: &[Service],
        routes: &[Route],
    ) -> io::Result<()> {
        let rows: Vec<String> = routes
            .iter()
            .map(|r| {
                format!(
                    r#"["{0}","a.example","/{0}/","{1}",{2},{3},1,null,{4},"{5}"]"#,
                    r.name, r.kind, r.timeout, r.aim, r.attempts, r.service
                )
            })
            .collect();
        let services: Vec<String> = services
            .iter()
            .map(|s| format!(r#"["{}","/health",220,"h1",false,3.0,6.2]"#, s.name))
            .collect();
        let config = format!(
            r#"{{"version":{version},"routes":{{"columns":["name","host","pathPrefix","kind","timeoutS","targetLatencyS","priority","weightedServices","maxAttempts","service"],"rows":[{}]}},"services":{{"columns":["name","healthCheckPath","maxConnections","protocol","tls","warmupS","coldPerS"],"rows":[{}]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}},"baseVersion":0}}"#,
            rows.join(","),
            services.join(",")
        );
        self.put("keyed.op", "config", &config)
    }

    /// Registers an endpoint.
    pub fn register(&self, name: &str, service: &str, address: SocketAddr) -> io::Result<()> {
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"here","version":"v1","slots":6,"state":"ready","warmupRemainingS":0,"sequence":1,"born":1}}"#
        );
        self.put("keyed.servers", name, &entry)
    }

    /// Makes the store answer all calls with 503, or answer as usual again.
    pub fn set_outage(&self, is_down: bool) -> io::Result<()> {
        let body = match is_down {
            true => r#"{"outage":"refusing"}"#,
            false => "{}",
        };
        let mut wire = Wire::connect(self.store)?;
        let head = format!(
            "PUT /control HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        wire.send(head.as_bytes())?;
        match wire
            .answer(Instant::now() + Duration::from_secs(5))
            .status()
        {
            200 => Ok(()),
            status => Err(failed(format!("the store answered {status}"))),
        }
    }

    /// Writes a record with a key, as operators and endpoints do.
    fn put(&self, topic: &str, key: &str, value: &str) -> io::Result<()> {
        let length = u8::try_from(key.len()).map_err(|_| failed("a long key".to_owned()))?;
        let mut record = vec![length];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let size = u32::try_from(record.len()).map_err(|_| failed("a long record".to_owned()))?;
        let mut wire = Wire::connect(self.store)?;
        let head = format!(
            "POST /log-append?topic={topic}&part=0 HTTP/1.1\r\nHost: store\r\n\
             Content-Length: {}\r\n\r\n",
            record.len() + 4
        );
        wire.send(head.as_bytes())?;
        wire.send(&size.to_be_bytes())?;
        wire.send(&record)?;
        match wire
            .answer(Instant::now() + Duration::from_secs(5))
            .status()
        {
            200 => Ok(()),
            status => Err(failed(format!("the store answered {status}"))),
        }
    }

    /// Returns whether all processes still run.
    pub fn all_run(&mut self) -> bool {
        let mut processes = self.processes.iter_mut();
        processes.all(|p| matches!(p.try_wait(), Ok(None)))
    }
}

fn first_line(process: &mut Child) -> io::Result<String> {
    let output = process.stdout.take();
    let output = output.ok_or_else(|| failed("no output".to_owned()))?;
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line)?;
    Ok(line)
}

/// Returns the address under a key of a flat JSON object.
fn address_in(line: &str, key: &str) -> Option<SocketAddr> {
    let rest = line.split(&format!("\"{key}\":\"")).nth(1)?;
    rest.split('"').next()?.parse().ok()
}

/// Returns a port that is free for TCP and UDP.
fn free_port(ip: IpAddr) -> io::Result<u16> {
    for _ in 0..50 {
        let socket = UdpSocket::bind((ip, 0))?;
        let address = socket.local_addr()?;
        if TcpListener::bind(address).is_ok() {
            return Ok(address.port());
        }
    }
    Err(failed("no free port".to_owned()))
}

fn is_ready(address: SocketAddr) -> bool {
    let asked = Wire::connect(address).and_then(|mut wire| {
        wire.send(b"GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")?;
        Ok(wire
            .answer(Instant::now() + Duration::from_secs(1))
            .status())
    });
    asked.is_ok_and(|status| status == 200)
}
