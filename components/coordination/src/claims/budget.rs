//! A limit on the appends of a claims home.

use std::time::Duration;

use state::Moment;

/// A token bucket of appends.
///
/// Load pattern: many claims on all streams. The platform's store takes several
/// hundred appends a second for the whole site. Without a budget eight busy homes
/// would append as fast as the store answers, and operators' commands would be
/// refused. When tokens are short, claims wait together for the next append,
/// which becomes larger but costs the same.
pub struct AppendBudget {
    tokens: f64,
    rate: f64,
    burst: f64,
    at: Moment,
}

impl AppendBudget {
    /// Returns a full bucket of `burst` tokens that is refilled with `rate` tokens a second.
    pub fn new(rate: f64, burst: f64, now: Moment) -> AppendBudget {
        AppendBudget {
            tokens: burst,
            rate,
            burst,
            at: now,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token if the bucket is empty.
    pub fn take(&mut self, now: Moment) -> Result<(), Duration> {
        let gained = now.since(self.at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.at = now;
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
