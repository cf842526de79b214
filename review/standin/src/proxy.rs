//! A proxy between one host and the store, which can cut them off from each other.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::record::lock;

/// What a call for the operators' records contains.
const READS: &[u8] = b"/log-read?topic=keyed.op&";

pub struct Proxy {
    pub address: SocketAddr,
    store: SocketAddr,
    is_cut: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    began: Instant,
    /// When the host last read the operators' records, in microseconds since the start.
    read_at: AtomicU64,
}

impl Proxy {
    pub fn start(store: SocketAddr) -> io::Result<Arc<Proxy>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let proxy = Arc::new(Proxy {
            address: listener.local_addr()?,
            store,
            is_cut: AtomicBool::new(false),
            streams: Mutex::default(),
            began: Instant::now(),
            read_at: AtomicU64::new(0),
        });
        let shared = Arc::clone(&proxy);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // A connection that can't be passed on is closed.
                let _ = shared.pass_on(stream);
            }
        });
        Ok(proxy)
    }

    /// Ends all connections, and each new one at once, until [`Proxy::heal`].
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in lock(&self.streams).drain(..) {
            // It may have ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// Returns when the host last read the operators' records.
    pub fn last_read(&self) -> u64 {
        self.read_at.load(Ordering::SeqCst)
    }

    fn pass_on(self: &Arc<Self>, host: TcpStream) -> io::Result<()> {
        if self.is_cut.load(Ordering::SeqCst) {
            return host.shutdown(Shutdown::Both);
        }
        let store = TcpStream::connect(self.store)?;
        host.set_nodelay(true)?;
        store.set_nodelay(true)?;
        lock(&self.streams).extend([host.try_clone()?, store.try_clone()?]);
        let (calls, answers) = ((host.try_clone()?, store.try_clone()?), (store, host));
        let proxy = Arc::clone(self);
        thread::spawn(move || proxy.copy(calls, true));
        let proxy = Arc::clone(self);
        thread::spawn(move || proxy.copy(answers, false));
        Ok(())
    }

    fn copy(&self, (mut from, mut to): (TcpStream, TcpStream), are_calls: bool) {
        let mut chunk = [0; 16 * 1024];
        while let Ok(count @ 1..) = from.read(&mut chunk) {
            let bytes = &chunk[..count];
            if are_calls && bytes.windows(READS.len()).any(|w| w == READS) {
                let at = u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX);
                self.read_at.store(at, Ordering::SeqCst);
            }
            if to.write_all(bytes).is_err() {
                break;
            }
        }
        // Either may have ended already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
