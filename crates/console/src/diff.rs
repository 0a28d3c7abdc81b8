/// Returns the lines of both texts in order, each with a mark: `' '` if it is in both,
/// `'-'` if it was removed and `'+'` if it was added.
///
/// Uses the longest common subsequence. Time and memory grow with the product of the
/// line counts, which is fast enough for documents of a few thousand lines.
pub fn diff<'a>(before: &'a str, after: &'a str) -> Vec<(char, &'a str)> {
    let old: Vec<&str> = before.lines().collect();
    let new: Vec<&str> = after.lines().collect();
    let common = common_lengths(&old, &new);
    let (mut i, mut j) = (0, 0);
    let mut lines = Vec::new();
    while i < old.len() || j < new.len() {
        if i < old.len() && j < new.len() && old[i] == new[j] {
            lines.push((' ', old[i]));
            i += 1;
            j += 1;
        } else if j == new.len() || (i < old.len() && common[i + 1][j] >= common[i][j + 1]) {
            lines.push(('-', old[i]));
            i += 1;
        } else {
            lines.push(('+', new[j]));
            j += 1;
        }
    }
    lines
}

/// Lengths of the longest common subsequences of `old[i..]` and `new[j..]`, for all `i` and `j`.
fn common_lengths(old: &[&str], new: &[&str]) -> Vec<Vec<u32>> {
    let mut common = vec![vec![0; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            common[i][j] = match old[i] == new[j] {
                true => common[i + 1][j + 1] + 1,
                false => common[i + 1][j].max(common[i][j + 1]),
            };
        }
    }
    common
}
