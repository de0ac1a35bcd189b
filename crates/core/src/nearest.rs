//! Spelling suggestions for mistyped names.

/// Maximum edit distance, in characters, at which a name is suggested.
const EDITS_MAX: usize = 2;

/// Returns the known name with the smallest edit distance from `given`, or `None` if none is close.
///
/// ```
/// use damaskweir_core::nearest::nearest;
///
/// assert_eq!(nearest("aprove", &["approve", "status"]), Some("approve"));
/// assert_eq!(nearest("frobnicate", &["approve", "status"]), None);
/// ```
pub fn nearest<'a>(given: &str, known: &[&'a str]) -> Option<&'a str> {
    let distances = known.iter().map(|name| (edit_distance(given, name), *name));
    distances.filter(|(n, _)| *n <= EDITS_MAX).min().map(|(_, name)| name)
}

/// Levenshtein distance.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.iter().enumerate() {
            let changed = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = changed.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
