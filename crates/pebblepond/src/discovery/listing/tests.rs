use super::*;

fn page(ids: &[&str]) -> BTreeMap<String, u32> {
    ids.iter().map(|id| (id.to_string(), 1)).collect()
}

#[test]
fn pages_are_merged_only_once_each_and_within_one_leadership() {
    let token = |t: &str| Some(t.to_string());
    // Start of the leadership at the end; whether the second page repeats the first; number of
    // entries returned.
    for (leader_since, is_repeated, expected_count) in [
        (Some(7), false, Some(3)),
        (Some(7), true, None),
        (Some(8), false, None),
        (None, false, None),
    ] {
        let mut listing = Listing::new(7);
        assert_eq!(
            listing.add_page(page(&["a", "b"]), token("p-2")),
            NextStep::Page("p-2".into())
        );
        let second = if is_repeated {
            listing.add_page(page(&["a", "b"]), token("p-2"))
        } else {
            listing.add_page(page(&["c"]), token(""))
        };
        assert_eq!(
            second,
            if is_repeated {
                NextStep::Invalid
            } else {
                NextStep::Done
            }
        );
        let entries = if is_repeated {
            None
        } else {
            listing.finish(leader_since)
        };
        assert_eq!(entries.map(|a| a.len()), expected_count);
    }
}
