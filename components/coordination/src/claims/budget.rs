//! How many appends a home may spend.

use std::time::Duration;

use state::Moment;

/// A token bucket of appends.
///
/// The platform's log takes several hundred appends a second for the whole
/// site. Without a budget eight busy homes would append as fast as the log
/// answers, and operators' commands would be refused. When tokens are short
/// claims wait for the next append together: it grows, and costs the same.
pub struct AppendBudget {
    tokens: f64,
    rate: f64,
    burst: f64,
    at: Moment,
}

impl AppendBudget {
    /// Returns a full bucket of `burst` tokens that gets `rate` a second.
    pub fn new(rate: f64, burst: f64, now: Moment) -> AppendBudget {
        AppendBudget {
            tokens: burst,
            rate,
            burst,
            at: now,
        }
    }

    /// Takes a token, or returns how long until there is one.
    ///
    /// # Errors
    ///
    /// Returns the time to wait.
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
