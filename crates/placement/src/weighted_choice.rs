//! Weighted choice of a site for one client.

use protocol::SiteFraction;

/// Draws a site for a service and client group with the probabilities given by the fractions.
/// `usable` returns whether a site may be returned now; `chance` is a number in [0, 1). Returns
/// `None` if no usable site has a fraction.
pub fn draw_site<'a>(
    fractions: &'a [SiteFraction],
    service: &str,
    group: &str,
    chance: f64,
    usable: impl Fn(&str) -> bool,
) -> Option<&'a str> {
    let candidates: Vec<&SiteFraction> = fractions
        .iter()
        .filter(|f| f.service == service && f.group == group && f.part > 0.0 && usable(&f.site))
        .collect();
    let total: f64 = candidates.iter().map(|f| f.part).sum();
    let mut remaining = chance * total;
    for candidate in &candidates {
        remaining -= candidate.part;
        if remaining < 0.0 {
            return Some(&candidate.site);
        }
    }
    candidates.last().map(|f| f.site.as_str())
}
