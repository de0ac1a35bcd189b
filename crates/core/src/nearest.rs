//! The name that a mistyped one was probably meant to be.

/// Changes of single letters up to which two names are taken for each other.
const EDITS_MAX: usize = 2;

/// The known name that differs least from the one given. `None`: none is close.
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

/// Least number of letters to add, remove or change.
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
