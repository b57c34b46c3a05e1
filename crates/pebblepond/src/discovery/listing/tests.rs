use super::*;

fn page(ids: &[&str]) -> BTreeMap<String, u32> {
    ids.iter().map(|id| (id.to_string(), 1)).collect()
}

#[test]
fn pages_are_put_together_once_each_and_only_in_their_duty() {
    let token = |t: &str| Some(t.to_string());
    // The leader_since at the end; whether the second page is the double of the first.
    for (leader_since, doubled, wanted) in [
        (Some(7), false, Some(3)),
        (Some(7), true, None),
        (Some(8), false, None),
        (None, false, None),
    ] {
        let mut listing = Listing::new(7);
        assert_eq!(
            listing.add_page(page(&["a", "b"]), token("p-2")),
            Next::Page("p-2".into())
        );
        let second = if doubled {
            listing.add_page(page(&["a", "b"]), token("p-2"))
        } else {
            listing.add_page(page(&["c"]), token(""))
        };
        assert_eq!(second, if doubled { Next::Broken } else { Next::Done });
        let all = if doubled {
            None
        } else {
            listing.finish(leader_since)
        };
        assert_eq!(all.map(|a| a.len()), wanted);
    }
}
