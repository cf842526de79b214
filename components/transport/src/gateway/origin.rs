//! Where requests come from: from callers, or from other hosts that forward them.

use std::net::IpAddr;

use hyper::HeaderMap;
use protocol::forwarded_request;

use super::denial::Denial;

/// Who sends the requests of a connection.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source {
    /// A caller at this address.
    Caller(IpAddr),
    /// Another host, which forwards requests of callers.
    Host,
}

impl Source {
    /// Returns where a request came from, and removes the mark of a forwarded one.
    ///
    /// # Errors
    ///
    /// Fails if a request from another host doesn't name the caller.
    pub fn origin(self, headers: &mut HeaderMap) -> Result<Origin, Denial> {
        match self {
            Source::Caller(caller) => Ok(Origin {
                caller,
                is_forwarded: false,
            }),
            Source::Host => {
                let caller = forwarded_request::take_caller(headers);
                Ok(Origin {
                    caller: caller.map_err(Denial::NotForwarded)?,
                    is_forwarded: true,
                })
            }
        }
    }
}

/// Where a request came from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin {
    /// The caller's address.
    pub caller: IpAddr,
    /// Whether another host has forwarded the request to this one.
    pub is_forwarded: bool,
}
