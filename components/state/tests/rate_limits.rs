//! Rate limits that endpoints advertise, and what hosts send them.

use state::fleet::rate_limit::{RateLimit, Source};

fn rate(limit: Option<RateLimit>) -> Option<f64> {
    limit.map(|l| l.rate)
}

#[test]
fn named_and_ended() {
    let named = RateLimit::after(None, Some(1.5), Source::Request);
    assert_eq!(rate(named), Some(1.5));
    let changed = RateLimit::after(named, Some(0.5), Source::Probe);
    assert_eq!(rate(changed), Some(0.5));
    assert_eq!(RateLimit::after(changed, None, Source::Request), None);
    assert_eq!(RateLimit::after(changed, None, Source::Probe), None);
}

/// An endpoint whose health answers leave its limit out must not be taken for one without.
#[test]
fn silent_probes() {
    let named = RateLimit::after(None, Some(1.5), Source::Request);
    let probed = RateLimit::after(named, None, Source::Probe);
    assert_eq!(rate(probed), Some(1.5));
}
