//! The file that lists the servers excluded by operators. It is in the same folder as the hot-restart socket.

use std::io;
use std::path::{Path, PathBuf};

use super::log_event::{log_event, LogEvent};

/// Extension of the file, which replaces the extension of the socket's path. It must not change, because
/// processes of other versions read the file.
const EXCLUDED_FILE_EXTENSION: &str = "bans";

fn excluded_file(hot_restart_socket: &Path) -> PathBuf {
    hot_restart_socket.with_extension(EXCLUDED_FILE_EXTENSION)
}

/// Writes the list of excluded servers, which a later process reads. After a crash the file contains either
/// the old or the new list.
pub(super) fn persist_excluded(hot_restart_socket: &Path, excluded: &[String]) {
    let file = excluded_file(hot_restart_socket);
    let new = file.with_extension(format!("{}.new", std::process::id()));
    let text: String = excluded.iter().map(|server| format!("{server}\n")).collect();
    if let Err(error) = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &file)) {
        log_event!(LogEvent::ExclusionsNotPersisted { file: &file, error: &error });
    }
}

/// Reads the list of excluded servers that an earlier process wrote. Returns an empty list if there is no
/// file or it cannot be read; the latter is logged.
pub(super) fn load_excluded(hot_restart_socket: &Path) -> Vec<String> {
    let file = excluded_file(hot_restart_socket);
    match std::fs::read(&file) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).lines().map(str::to_owned).collect(),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(error) => {
            log_event!(LogEvent::ExclusionsUnreadable { file: &file, error: &error });
            Vec::new()
        }
    }
}
