//! Rate limits that endpoints in need advertise in their answers.

use derives::tag;

/// What kind of answer an endpoint gave.
#[tag]
pub enum Source {
    /// An answer to a probe.
    Probe,
    /// An answer to a caller's request.
    Request,
}

/// A limit as it is known after an endpoint's last answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second that the endpoint takes from all hosts together.
    pub rate: f64,
    /// Whether answers to probes name it too.
    probed: bool,
}

impl RateLimit {
    /// Returns the limit after an answer that names `rate`, or names none.
    ///
    /// An answer without a limit ends it only where answers of its kind have named it:
    /// an endpoint may leave it out of what it says to probes.
    pub fn after(known: Option<RateLimit>, rate: Option<f64>, source: Source) -> Option<RateLimit> {
        match (rate, source) {
            (Some(rate), _) => Some(RateLimit {
                rate,
                probed: source == Source::Probe || known.is_some_and(|l| l.probed),
            }),
            (None, Source::Probe) => known.filter(|l| !l.probed),
            (None, Source::Request) => None,
        }
    }
}
