//! Just enough of HTTP/1.1 for stand-ins that have to send unusual bytes on purpose.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a request or of an answer.
pub struct Head {
    /// The request line or the status line.
    pub line: String,
    fields: Vec<(String, String)>,
}

impl Head {
    fn parse(bytes: &[u8]) -> Head {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let fields = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Head { line, fields }
    }

    /// Returns the value of a field, whose name is given in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer, 0 if the line is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or_default()
    }

    /// Returns the announced length of the body, 0 if there is none.
    pub fn length(&self) -> usize {
        let length = self.field("content-length");
        length.and_then(|l| l.parse().ok()).unwrap_or_default()
    }
}

/// A connection with the bytes that were read beyond what was asked for.
pub struct Wire {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        // Without it small writes wait for acknowledgements; a socket that refuses is slow only.
        let _ = stream.set_nodelay(true);
        Wire {
            stream,
            unread: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Wire> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Wire::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads some more bytes; returns false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.unread.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a head; returns none if the connection ends before one is complete.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.unread.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end {
                let head = Head::parse(&self.unread[..end]);
                self.unread.drain(..end + 4);
                return Ok(Some(head));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a body of this length; returns none if the connection ends before it.
    pub fn body(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.unread.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.unread.drain(..length).collect()))
    }

    fn limit_reads(&self, until: Instant) -> io::Result<()> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))
    }

    /// Reads one whole answer, which must be complete by `until`.
    pub fn answer(&mut self, until: Instant) -> Ending {
        self.try_answer(until)
            .unwrap_or_else(|error| match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut => Ending::Nothing,
                _ => Ending::Closed,
            })
    }

    fn try_answer(&mut self, until: Instant) -> io::Result<Ending> {
        self.limit_reads(until)?;
        let Some(head) = self.head()? else {
            return Ok(Ending::Closed);
        };
        let length = head.length();
        while self.unread.len() < length {
            self.limit_reads(until)?;
            if !self.fill()? {
                return Ok(Ending::Closed);
            }
        }
        self.unread.drain(..length);
        Ok(Ending::Answered {
            status: head.status(),
            signed: head.field("server-signature").is_some(),
            id: head.field("attempt-id").unwrap_or_default().to_owned(),
        })
    }
}

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// A whole answer.
    Answered {
        status: u16,
        signed: bool,
        id: String,
    },
    /// The connection ended without a whole answer.
    Closed,
    /// Nothing, or only a part, until the client's time was used up.
    Nothing,
}

impl Ending {
    pub fn status(&self) -> u16 {
        match self {
            Ending::Answered { status, .. } => *status,
            Ending::Closed | Ending::Nothing => 0,
        }
    }
}
