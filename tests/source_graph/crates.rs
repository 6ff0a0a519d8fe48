//! The crates whose sources are in `src`, and the mapping from files to modules.

/// Name of the library in paths of the programs.
pub(super) const LIBRARY: &str = "connection_balancer";
/// Root files of the crates whose sources are in `src`, each with the name of the crate in this test.
const CRATE_ROOTS: [(&str, &str); 3] = [
    ("lib.rs", LIBRARY),
    ("program/main.rs", "program main"),
    ("bin/simulator-adapter/main.rs", "simulator-adapter"),
];
/// Folders of crates other than the library, each with the name of the crate in this test.
const CRATE_FOLDERS: [(&str, &str); 1] = [("bin/simulator-adapter/", "simulator-adapter")];

/// Returns the path of the module that a file of `src` contains: the crate's name, then the modules.
pub(super) fn module_of(file: &str) -> Vec<String> {
    if let Some((_, name)) = CRATE_ROOTS.iter().find(|(root, _)| *root == file) {
        return vec![(*name).to_owned()];
    }
    let in_folder =
        CRATE_FOLDERS.iter().find_map(|(folder, name)| file.strip_prefix(folder).map(|rest| (rest, *name)));
    let (path, crate_name) = in_folder.unwrap_or((file, LIBRARY));
    let path = path.strip_suffix(".rs").unwrap_or(path);
    let path = path.strip_suffix("/mod").unwrap_or(path);
    std::iter::once(crate_name).chain(path.split('/')).map(str::to_owned).collect()
}
