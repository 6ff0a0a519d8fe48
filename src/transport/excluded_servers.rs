//! Servers out by hand, kept in a file beside the socket where the next process asks.

use std::io;
use std::path::{Path, PathBuf};

/// The file of servers out by hand beside the socket.
fn excluded_file(place: &Path) -> PathBuf {
    place.with_extension("bans")
}

/// Puts the servers out by hand where the next process finds them if nobody can tell it. Danger: a crash
/// halfway must leave the old list or the new.
pub fn persist_excluded(place: &Path, excluded: &[String]) {
    let file = excluded_file(place);
    let new = file.with_extension(format!("{}.new", std::process::id()));
    let text: String = excluded.iter().map(|server| format!("{server}\n")).collect();
    if let Err(error) = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &file)) {
        crate::log!(error, "{}: hosts out by hand are not kept: {error}", file.display());
    }
}

/// The servers that were out by hand when a process here last said so.
pub fn load_excluded(place: &Path) -> Vec<String> {
    let file = excluded_file(place);
    match std::fs::read(&file) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).lines().map(str::to_owned).collect(),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(error) => {
            crate::log!(error, "{}: {error}", file.display());
            Vec::new()
        }
    }
}
