//! The graph of the files of `src`, by what each names of the others. What counts as an edge is described at
//! the head of `tests/module_graph.rs`.

mod crates;
mod source_file;
mod token;

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use crates::LIBRARY;
use source_file::{Import, SourceFile};

/// Re-exports that a path may go through, before it is taken to be one that leads to itself.
const MAX_REEXPORTS: usize = 16;

/// The files, and which of them import which.
pub(crate) struct Graph {
    files: BTreeMap<String, SourceFile>,
    /// The file of each module.
    modules: BTreeMap<Vec<String>, String>,
    pub(crate) edges: BTreeMap<String, BTreeSet<String>>,
}

impl Graph {
    pub(crate) fn new(sources: &BTreeMap<String, String>) -> Graph {
        let files: BTreeMap<String, SourceFile> =
            sources.iter().map(|(file, source)| (file.clone(), SourceFile::parse(file, source))).collect();
        let modules = files.iter().map(|(file, parsed)| (parsed.module.clone(), file.clone())).collect();
        let mut graph = Graph { files, modules, edges: BTreeMap::new() };
        graph.edges = graph.files.keys().map(|file| (file.clone(), graph.imported_by(file))).collect();
        graph
    }

    pub(crate) fn of_this_project() -> Graph {
        let mut sources = BTreeMap::new();
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
        read_sources(&root, &root, &mut sources);
        assert!(sources.len() > 100, "src holds {} files", sources.len());
        Graph::new(&sources)
    }

    fn imported_by(&self, file: &str) -> BTreeSet<String> {
        let parsed = &self.files[file];
        let imports = parsed.imports.iter().filter(|import| !self.is_reexport_of_child(parsed, import));
        let named = parsed.paths.iter().filter_map(|path| parsed.with_import_resolved(path));
        let imported = imports.map(|import| import.path.clone()).chain(named);
        let mut targets: BTreeSet<String> =
            imported.filter_map(|path| self.resolve(&parsed.module, &path, 0)).collect();
        targets.remove(file);
        targets
    }

    fn is_reexport_of_child(&self, parsed: &SourceFile, import: &Import) -> bool {
        let start = self.start_of(&parsed.module, &import.path);
        let is_below = |(module, rest): (Vec<String>, &[String])| {
            let first = rest.first().cloned();
            let target: Vec<String> = module.into_iter().chain(first).collect();
            target.starts_with(&parsed.module) && target.len() > parsed.module.len()
        };
        import.is_reexport && start.is_some_and(is_below)
    }

    /// The module where a path begins, and the rest of the path. None if it leads out of the project.
    fn start_of<'a>(&self, module: &[String], path: &'a [String]) -> Option<(Vec<String>, &'a [String])> {
        let first = path.first()?.as_str();
        match first {
            "crate" => Some((module[..1].to_vec(), &path[1..])),
            LIBRARY => Some((vec![LIBRARY.to_owned()], &path[1..])),
            "self" => Some((module.to_vec(), &path[1..])),
            "super" => {
                let supers = path.iter().take_while(|segment| *segment == "super").count();
                let parent = module.len().checked_sub(supers).filter(|&length| length > 0)?;
                Some((module[..parent].to_vec(), &path[supers..]))
            }
            _ => {
                let child: Vec<String> = module.iter().cloned().chain([first.to_owned()]).collect();
                self.modules.contains_key(&child).then_some((child, &path[1..]))
            }
        }
    }

    /// The file that defines what a path in a module names.
    fn resolve(&self, module: &[String], path: &[String], reexports: usize) -> Option<String> {
        let (mut at, mut rest) = self.start_of(module, path)?;
        while let Some((segment, after)) = rest.split_first() {
            let child: Vec<String> = at.iter().cloned().chain([segment.clone()]).collect();
            if self.modules.contains_key(&child) {
                (at, rest) = (child, after);
            } else if segment == "super" {
                at.pop();
                rest = after;
            } else {
                return self.resolve_item(&at, rest, reexports).or_else(|| self.modules.get(&at).cloned());
            }
        }
        self.modules.get(&at).cloned()
    }

    /// The file that defines an item which a module defines or has imported.
    fn resolve_item(&self, module: &[String], path: &[String], reexports: usize) -> Option<String> {
        let file = self.modules.get(module)?;
        let parsed = &self.files[file];
        let name = path.first()?;
        if parsed.items.contains(name) {
            return Some(file.clone());
        }
        if reexports == MAX_REEXPORTS {
            return None;
        }
        let imported = parsed.imports.iter().find(|import| import.name == *name);
        if let Some(import) = imported {
            let target: Vec<String> = import.path.iter().chain(&path[1..]).cloned().collect();
            return self.resolve(module, &target, reexports + 1);
        }
        let globs = parsed.imports.iter().filter(|import| import.name == "*" && import.is_reexport);
        let through_glob = |import: &Import| {
            let (start, rest) = self.start_of(module, &import.path)?;
            let target: Vec<String> = start.into_iter().chain(rest.iter().cloned()).collect();
            self.resolve_item(&target, path, reexports + 1)
        };
        let found = globs.into_iter().find_map(through_glob);
        found.or_else(|| self.file_of_exported_macro(module, name))
    }

    fn file_of_exported_macro(&self, module: &[String], name: &str) -> Option<String> {
        let of_crate = |parsed: &SourceFile| module.len() == 1 && parsed.module[0] == module[0];
        let defines = |parsed: &SourceFile| of_crate(parsed) && parsed.exported_macros.contains(name);
        self.files.iter().find(|(_, parsed)| defines(parsed)).map(|(file, _)| file.clone())
    }

    fn reachable_from(&self, file: &str) -> BTreeSet<&str> {
        let mut reached = BTreeSet::new();
        let mut open: Vec<&str> = self.edges[file].iter().map(String::as_str).collect();
        while let Some(next) = open.pop() {
            if reached.insert(next) {
                open.extend(self.edges[next].iter().map(String::as_str));
            }
        }
        reached
    }

    /// The largest sets of files that all reach one another, each with more than one file.
    pub(crate) fn circles(&self) -> Vec<BTreeSet<&str>> {
        let reachable: BTreeMap<&str, BTreeSet<&str>> =
            self.edges.keys().map(|file| (file.as_str(), self.reachable_from(file))).collect();
        let mut circles = BTreeSet::new();
        for (&file, reached) in &reachable {
            if reached.contains(file) {
                circles.insert(
                    reached.iter().copied().filter(|&other| reachable[other].contains(file)).collect(),
                );
            }
        }
        circles.into_iter().collect()
    }

    /// The edges within a set of files, one a line.
    pub(crate) fn describe(&self, circle: &BTreeSet<&str>) -> String {
        let mut text = String::new();
        for &file in circle {
            let targets: Vec<&str> = self.edges[file]
                .iter()
                .map(String::as_str)
                .filter(|target| circle.contains(target))
                .collect();
            text.push_str(&format!("  {file} imports {}\n", targets.join(", ")));
        }
        text
    }
}

fn read_sources(root: &Path, folder: &Path, sources: &mut BTreeMap<String, String>) {
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            read_sources(root, &path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let name = path.strip_prefix(root).expect("the file lies in the root").to_string_lossy();
            let source = std::fs::read_to_string(&path).expect("the file can be read");
            sources.insert(name.into_owned(), source);
        }
    }
}
