//! The admin port while commands block.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use transport::admin::{Admin, Host};

/// A host whose commands block until the test releases them.
struct BlockedHost {
    started_sender: Mutex<Sender<()>>,
    release: Mutex<Receiver<()>>,
}

impl Host for BlockedHost {
    fn unready_reason(&self) -> Option<String> {
        None
    }

    fn status(&self) -> serde_json::Value {
        serde_json::Value::Null
    }

    fn config(&self) -> String {
        String::new()
    }

    fn command(&self, _: &[u8]) -> (u16, String) {
        self.started_sender.lock().unwrap().send(()).unwrap();
        self.release.lock().unwrap().recv().unwrap();
        (200, "{}".to_owned())
    }
}

fn post(address: SocketAddr) -> JoinHandle<u16> {
    thread::spawn(move || {
        let url = format!("http://{address}/commands");
        match ureq::post(url).send("{}") {
            Ok(answer) => answer.status().as_u16(),
            Err(ureq::Error::StatusCode(status)) => status,
            Err(error) => panic!("{error}"),
        }
    })
}

/// The store hangs, and the maximum number of commands wait for it. `/readyz`
/// must still be answered, or the platform's balancer takes a healthy host out
/// of service. With two worker threads for all requests, two commands blocked
/// it. With commands on threads of their own, one run in twenty still hung: the
/// HTTP server library then in use counted a thread it had just woken as idle, so
/// that a new connection was not served until another one closed. The port now
/// accepts and serves connections itself.
#[test]
fn ready_despite_blocked_commands() {
    let (started_sender, started) = channel();
    let (release, released) = channel();
    let host: Arc<dyn Host> = Arc::new(BlockedHost {
        started_sender: Mutex::new(started_sender),
        release: Mutex::new(released),
    });
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let admin = Admin::open(listener, &host, None).unwrap();
    let address = admin.address();
    let waiting: Vec<_> = (0..8).map(|_| post(address)).collect();
    started.recv().unwrap();
    let ready = ureq::get(format!("http://{address}/readyz"))
        .call()
        .unwrap();
    assert_eq!(ready.status().as_u16(), 200);
    for _ in 0..8 {
        release.send(()).unwrap();
    }
    for command in waiting {
        assert_eq!(command.join().unwrap(), 200);
    }
}
