//! Application of a placement to one client.

use protocol::SiteFraction;

/// Draws a site for a service and client group with the probabilities of the
/// fractions. `usable` says which sites can be answered with now; `chance` is
/// a number from 0 up to 1. `None` without any fraction for a usable site.
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
    let mut left = chance * total;
    for candidate in &candidates {
        left -= candidate.part;
        if left < 0.0 {
            return Some(&candidate.site);
        }
    }
    candidates.last().map(|f| f.site.as_str())
}
