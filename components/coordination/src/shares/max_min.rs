//! The max-min division of a capacity.

/// Returns the level at which wants are cut off so that they fit into `capacity`.
///
/// Whoever wants less than the level gets all of it, the others get the level. Returns
/// infinity if everything fits.
pub fn max_min_level(capacity: f64, wants: impl IntoIterator<Item = f64>) -> f64 {
    let mut wants: Vec<f64> = wants.into_iter().collect();
    wants.sort_by(f64::total_cmp);
    let mut left = capacity.max(0.0);
    let mut count = wants.len() as f64;
    for want in wants {
        let level = left / count;
        if want > level {
            return level;
        }
        left -= want;
        count -= 1.0;
    }
    f64::INFINITY
}
