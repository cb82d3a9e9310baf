//! Guards against state that grows with every name ever seen.

use super::RecentMap;

#[test]
fn the_entry_unused_for_the_longest_time_is_forgotten() {
    let mut map = RecentMap::new(3);
    for key in ["a", "b", "c", "a", "d"] {
        *map.use_or_insert_with(&key, || 0) += 1;
    }
    assert_eq!(map.len(), 3);
    assert_eq!(map.get(&"b"), None);
    assert_eq!(map.get(&"a"), Some(&2));
    assert_eq!(map.oldest(), Some((&"c", &1)));
    assert_eq!(map.remove(&"c"), Some(1));
    assert_eq!(map.oldest(), Some((&"a", &2)));
}
