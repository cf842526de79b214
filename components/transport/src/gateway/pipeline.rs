//! Starts pipelined requests while an earlier one of their connection is still unanswered.
//!
//! The HTTP library reads one request at a time and writes answers in the order of the
//! requests. The requests behind it are started here as soon as they have arrived; when
//! the library comes to one, it gets the answer that is under way.
//!
//! Only idempotent requests without a body are started early: one that waits behind an
//! answer that closes the connection counts as unread, and its caller sends it again. None is
//! started beside one that isn't idempotent: its caller expects it to see what that one did.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use hyper::http::request::Parts;
use hyper::{HeaderMap, Response};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio_util::task::AbortOnDropHandle;

use super::answer_body::{AnswerBody, RelayError};
use super::denial::Denial;
use super::origin::Source;
use super::{Gateway, Stage, call};

/// Maximum number of requests of one connection that are started early.
const MAX_AHEAD: usize = 8;

/// Maximum number of requests of all connections that are started early.
///
/// Their answers wait in memory for those before them, up to 128 KB each, so the limit
/// is 8 MB. Beyond it requests wait in their connections.
const MAX_AHEAD_TOTAL: usize = 64;

/// The largest answer, in bytes, that is held back for the sake of requests behind it.
///
/// At most [`MAX_AHEAD_TOTAL`] connections have such requests, so the limit is 32 MB.
const MAX_HELD_ANSWER: usize = 512 * 1024;

/// A request that was started early.
pub(super) struct EarlyCall {
    answer: AbortOnDropHandle<Response<AnswerBody>>,
    gateway: Rc<Gateway>,
}

impl EarlyCall {
    /// Waits for the answer.
    pub async fn answer(mut self) -> Response<AnswerBody> {
        match (&mut self.answer).await {
            Ok(answer) => answer,
            Err(error) => {
                log::error!("E0131 early-request-failed error={error:?}");
                Denial::Unknown("this host failed").response(&HeaderMap::new())
            }
        }
    }
}

impl Drop for EarlyCall {
    fn drop(&mut self) {
        let ahead = &self.gateway.ahead;
        ahead.set(ahead.get() - 1);
    }
}

/// The requests of one connection that were started early, in their order.
///
/// Dropping it, when the caller hangs up, cancels them.
pub(super) struct Pipeline {
    gateway: Rc<Gateway>,
    source: Source,
    started: RefCell<VecDeque<EarlyCall>>,
    /// Whether the HTTP library has come to the first of them.
    is_due: Cell<bool>,
    /// Whether the request being served must be answered before others start.
    is_exclusive: Cell<bool>,
    taken: Notify,
}

impl Pipeline {
    pub fn new(gateway: Rc<Gateway>, source: Source) -> Pipeline {
        Pipeline {
            gateway,
            source,
            started: RefCell::default(),
            is_due: Cell::new(false),
            is_exclusive: Cell::new(false),
            taken: Notify::new(),
        }
    }

    /// Returns whether one more request may be started early.
    pub fn has_room(&self) -> bool {
        !self.is_exclusive.get()
            && self.started.borrow().len() < MAX_AHEAD
            && self.gateway.ahead.get() < MAX_AHEAD_TOTAL
            && *self.gateway.stage.borrow() == Stage::Serving
    }

    /// Starts a request if its route allows it; returns whether it was started.
    pub fn start(&self, parts: Parts) -> bool {
        if !call::is_idempotent(&self.gateway, &parts) {
            return false;
        }
        let gateway = Rc::clone(&self.gateway);
        let source = self.source;
        let answer = spawn_local(async move { call::handle(&gateway, parts, None, source).await });
        self.gateway.ahead.set(self.gateway.ahead.get() + 1);
        self.started.borrow_mut().push_back(EarlyCall {
            answer: AbortOnDropHandle::new(answer),
            gateway: Rc::clone(&self.gateway),
        });
        true
    }

    /// Notes that the HTTP library reads the next request; `is_early` if it was started.
    pub fn reading(&self, is_early: bool) {
        self.is_due.set(is_early);
    }

    /// Returns the request that the HTTP library has just read, if it was started early.
    pub fn take(&self, parts: &Parts) -> Option<EarlyCall> {
        let call = match self.is_due.take() {
            true => self.started.borrow_mut().pop_front(),
            false => None,
        };
        let is_exclusive = call.is_none() && !call::is_idempotent(&self.gateway, parts);
        self.is_exclusive.set(is_exclusive);
        self.taken.notify_waiters();
        call
    }

    /// Completes the answer to the request being served where others depend on it.
    ///
    /// An answer that breaks off while it is relayed can only be shown by closing the
    /// connection, and the requests behind it that were started would get no answer. So it is
    /// held back until it is complete, up to a limit, and replaced if it breaks off. While a
    /// longer one is relayed, no requests are started.
    pub async fn secure(&self, mut answer: Response<AnswerBody>) -> Response<AnswerBody> {
        let max_bytes = match self.is_waiting() {
            true => MAX_HELD_ANSWER,
            false => 0,
        };
        match answer.body_mut().complete(max_bytes).await {
            Ok(is_complete) => {
                if !is_complete {
                    self.is_exclusive.set(true);
                }
                answer
            }
            Err(error) => {
                log::debug!("E0169 held-answer-broken error={error}");
                let denial = match error {
                    RelayError::Broken(_) => Denial::Unknown("the answer broke off"),
                    RelayError::Overdue => Denial::Silent,
                };
                // Both name the same attempt.
                let mut response = denial.response(answer.headers());
                if let Some(unread) = answer.body_mut().take_unread() {
                    response.body_mut().set_unread(unread);
                }
                response
            }
        }
    }

    /// Returns whether answers are under way that the HTTP library hasn't come to.
    pub fn is_waiting(&self) -> bool {
        !self.started.borrow().is_empty()
    }

    /// Waits until the HTTP library has come to all requests that were started.
    pub async fn all_taken(&self) {
        while self.is_waiting() {
            self.taken.notified().await;
        }
    }
}
