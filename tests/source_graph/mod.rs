//! The import graph of the files of `src`. The head of `tests/module_graph.rs` defines its edges.

mod crates;
mod source_file;
mod token;

use std::collections::{BTreeMap, BTreeSet};

use crate::rust_files::read_rust_files;
use crates::LIBRARY;
use source_file::{Import, SourceFile};

/// Highest number of re-exports that are followed for one path. A longer chain is treated as a cycle of
/// re-exports.
const MAX_REEXPORTS: usize = 16;

/// The import graph.
pub(crate) struct Graph {
    files: BTreeMap<String, SourceFile>,
    /// File of each module, by the module's path.
    modules: BTreeMap<Vec<String>, String>,
    /// Files that each file imports.
    pub(crate) edges: BTreeMap<String, BTreeSet<String>>,
}

impl Graph {
    /// Builds the graph from sources by file path.
    pub(crate) fn new(sources: &BTreeMap<String, String>) -> Graph {
        let files: BTreeMap<String, SourceFile> =
            sources.iter().map(|(file, source)| (file.clone(), SourceFile::parse(file, source))).collect();
        let modules = files.iter().map(|(file, parsed)| (parsed.module.clone(), file.clone())).collect();
        let mut graph = Graph { files, modules, edges: BTreeMap::new() };
        graph.edges = graph.files.keys().map(|file| (file.clone(), graph.imported_by(file))).collect();
        graph
    }

    /// Builds the graph of this project's `src`.
    pub(crate) fn of_this_project() -> Graph {
        let sources = read_rust_files("src");
        assert!(
            sources.len() > 100,
            "only {} files were found in src, more than 100 are expected",
            sources.len()
        );
        Graph::new(&sources)
    }

    /// Returns the files that a file imports.
    fn imported_by(&self, file: &str) -> BTreeSet<String> {
        let parsed = &self.files[file];
        let imports = parsed.imports.iter().filter(|import| !self.is_reexport_of_child(parsed, import));
        let paths_in_code = parsed.paths.iter().filter_map(|path| parsed.with_import_resolved(path));
        let imported = imports.map(|import| import.path.clone()).chain(paths_in_code);
        let mut targets: BTreeSet<String> =
            imported.filter_map(|path| self.resolve(&parsed.module, &path, 0)).collect();
        targets.remove(file);
        targets
    }

    /// Returns whether an import re-exports an item of a descendant of the module.
    fn is_reexport_of_child(&self, parsed: &SourceFile, import: &Import) -> bool {
        let start = self.start_of(&parsed.module, &import.path);
        let is_descendant = |(module, rest): (Vec<String>, &[String])| {
            let first = rest.first().cloned();
            let target: Vec<String> = module.into_iter().chain(first).collect();
            target.starts_with(&parsed.module) && target.len() > parsed.module.len()
        };
        import.is_reexport && start.is_some_and(is_descendant)
    }

    /// Returns the module where a path begins, and the rest of the path. Returns `None` for a path to another
    /// project.
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

    /// Returns the file that defines the item of a path in a module. `followed` is the number of re-exports
    /// that were followed before.
    fn resolve(&self, module: &[String], path: &[String], followed: usize) -> Option<String> {
        let (mut current, mut rest) = self.start_of(module, path)?;
        while let Some((segment, remaining)) = rest.split_first() {
            let child: Vec<String> = current.iter().cloned().chain([segment.clone()]).collect();
            if self.modules.contains_key(&child) {
                (current, rest) = (child, remaining);
            } else if segment == "super" {
                current.pop();
                rest = remaining;
            } else {
                return self
                    .resolve_item(&current, rest, followed)
                    .or_else(|| self.modules.get(&current).cloned());
            }
        }
        self.modules.get(&current).cloned()
    }

    /// Returns the file that defines an item which a module defines or imports.
    fn resolve_item(&self, module: &[String], path: &[String], followed: usize) -> Option<String> {
        let file = self.modules.get(module)?;
        let parsed = &self.files[file];
        let name = path.first()?;
        if parsed.items.contains(name) {
            return Some(file.clone());
        }
        if followed == MAX_REEXPORTS {
            return None;
        }
        let imported = parsed.imports.iter().find(|import| import.name == *name);
        if let Some(import) = imported {
            let target: Vec<String> = import.path.iter().chain(&path[1..]).cloned().collect();
            return self.resolve(module, &target, followed + 1);
        }
        let globs = parsed.imports.iter().filter(|import| import.name == "*" && import.is_reexport);
        let through_glob = |import: &Import| {
            let (start, rest) = self.start_of(module, &import.path)?;
            let target: Vec<String> = start.into_iter().chain(rest.iter().cloned()).collect();
            self.resolve_item(&target, path, followed + 1)
        };
        let glob_target = globs.into_iter().find_map(through_glob);
        glob_target.or_else(|| self.file_of_exported_macro(module, name))
    }

    /// Returns the file of an exported macro, which is an item of its crate's root.
    fn file_of_exported_macro(&self, module: &[String], name: &str) -> Option<String> {
        let is_at_root = |parsed: &SourceFile| module.len() == 1 && parsed.module[0] == module[0];
        let defines = |parsed: &SourceFile| is_at_root(parsed) && parsed.exported_macros.contains(name);
        self.files.iter().find(|(_, parsed)| defines(parsed)).map(|(file, _)| file.clone())
    }

    /// Returns the files that a file imports, directly or through other files.
    fn reachable_from(&self, file: &str) -> BTreeSet<&str> {
        let mut reachable = BTreeSet::new();
        let mut unvisited: Vec<&str> = self.edges[file].iter().map(String::as_str).collect();
        while let Some(next) = unvisited.pop() {
            if reachable.insert(next) {
                unvisited.extend(self.edges[next].iter().map(String::as_str));
            }
        }
        reachable
    }

    /// Returns the import cycles: the largest sets of files that all reach one another, each with more than
    /// one file.
    pub(crate) fn cycles(&self) -> Vec<BTreeSet<&str>> {
        let reachable: BTreeMap<&str, BTreeSet<&str>> =
            self.edges.keys().map(|file| (file.as_str(), self.reachable_from(file))).collect();
        let mut cycles = BTreeSet::new();
        for (&file, reached) in &reachable {
            if reached.contains(file) {
                cycles.insert(
                    reached.iter().copied().filter(|&other| reachable[other].contains(file)).collect(),
                );
            }
        }
        cycles.into_iter().collect()
    }

    /// Describes the edges within a cycle, one file per line.
    pub(crate) fn describe(&self, cycle: &BTreeSet<&str>) -> String {
        let mut text = String::new();
        for &file in cycle {
            let targets: Vec<&str> =
                self.edges[file].iter().map(String::as_str).filter(|target| cycle.contains(target)).collect();
            text.push_str(&format!("  {file} imports {}\n", targets.join(", ")));
        }
        text
    }
}
