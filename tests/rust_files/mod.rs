//! Reads the Rust files of the repository.

use std::collections::BTreeMap;
use std::path::Path;

/// Returns the texts of the Rust files in `folder` and its subfolders, by their paths relative to it. The
/// path of `folder` is relative to the repository.
pub(crate) fn read_rust_files(folder: &str) -> BTreeMap<String, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let mut sources = BTreeMap::new();
    let mut folders = vec![root.clone()];
    while let Some(folder) = folders.pop() {
        let entries =
            std::fs::read_dir(&folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
        for entry in entries {
            let path = entry.expect("an entry of a folder can be read").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let name = path.strip_prefix(&root).expect("the file is in the folder").to_string_lossy();
                let source = std::fs::read_to_string(&path).expect("a source file can be read");
                sources.insert(name.into_owned(), source);
            }
        }
    }
    sources
}
