//! Checks the import graph of `src`: it has no cycles, and a layer imports only lower layers.
//!
//! The graph has a node for each file and an edge for each path by which one file names an item of another:
//!
//! - Paths are read from `use` declarations and from code if they begin with `crate`, `super`, `self`, the
//!   library's name, a child module or an imported name. Comments and literals are skipped.
//! - The target of an edge is the file that defines the item. Re-exports, and names that a parent module has
//!   imported, are resolved to that file. A `mod.rs` that only re-exports the item is not a target.
//! - A child that uses an item of its parent by `super::` depends on the parent's file. A parent that uses an
//!   item of its child by a private `use` or by path depends on the child's file. Together they form a cycle.
//! - `mod` declarations and visibilities are not edges. Re-exports (`pub use`) of a module's own descendants
//!   are not edges unless the module's own code uses the name.
//! - A glob import is an edge to the file of the imported module.
//!
//! Method calls need no path, so they are not edges.

mod rust_files;
mod rust_lexer;
mod source_graph;

use std::collections::BTreeSet;

use source_graph::Graph;

/// A layer: a folder of `src`, or a single file.
#[derive(Clone, Copy, Debug)]
struct Layer {
    /// Path in `src`.
    path: &'static str,
    /// A layer may import layers of lower rank. Layers of the same rank may not import each other.
    rank: u32,
}

const fn layer(path: &'static str, rank: u32) -> Layer {
    Layer { path, rank }
}

/// The layers from the lowest to the highest. A file belongs to the first layer whose path is a prefix of the
/// file's.
const LAYERS: [Layer; 12] = [
    layer("types/", 0),
    layer("bookkeeping/", 1),
    layer("policy/", 2),
    layer("peers/", 3),
    layer("rebalance/", 3),
    layer("routing/", 4),
    layer("protocol/", 5),
    // The transport uses logging and configuration. The other files of the program start the transport.
    layer("program/log.rs", 6),
    layer("program/config/", 7),
    layer("transport/", 8),
    layer("program/", 9),
    layer("bin/", 9),
];
/// The library's root, which only declares and re-exports modules, and may import every layer.
const LIBRARY_ROOT: Layer = layer("lib.rs", u32::MAX);

/// Returns the layer of a file.
fn layer_of(file: &str) -> Layer {
    if file == LIBRARY_ROOT.path {
        return LIBRARY_ROOT;
    }
    let layer = LAYERS.iter().find(|layer| file.starts_with(layer.path));
    *layer.unwrap_or_else(|| panic!("{file} belongs to no layer: add its folder to LAYERS"))
}

/// Describes each import from a layer to a different layer that is not lower.
fn upward_imports(graph: &Graph) -> Vec<String> {
    let mut upward = Vec::new();
    for (file, targets) in &graph.edges {
        for target in targets {
            let (from, to) = (layer_of(file), layer_of(target));
            if from.path != to.path && from.rank <= to.rank {
                upward.push(format!("{file} imports {target}"));
            }
        }
    }
    upward
}

/// Builds the graph of files that are given as pairs of path and source.
fn graph_of(sources: &[(&str, &str)]) -> Graph {
    Graph::new(&sources.iter().map(|(file, source)| ((*file).to_owned(), (*source).to_owned())).collect())
}

#[test]
fn import_graph_of_src_has_no_cycle() {
    let graph = Graph::of_this_project();
    let cycles: Vec<String> = graph.cycles().iter().map(|cycle| graph.describe(cycle)).collect();
    assert!(cycles.is_empty(), "import cycles:\n{}", cycles.join("\n"));
}

#[test]
fn layers_import_only_lower_layers() {
    let upward = upward_imports(&Graph::of_this_project());
    assert!(upward.is_empty(), "imports of layers that are not lower:\n{}", upward.join("\n"));
}

#[test]
fn finds_a_cycle_through_a_reexport_and_names_its_files() {
    let graph = graph_of(&[
        ("lib.rs", "mod low; mod high;"),
        ("low/mod.rs", "mod first; pub use first::First;"),
        ("low/first.rs", "use crate::high::Second; pub struct First(Second);"),
        ("high.rs", "use crate::low::First; pub struct Second; fn take(_: First) {}"),
    ]);

    assert_eq!(graph.cycles(), [BTreeSet::from(["high.rs", "low/first.rs"])]);
}

#[test]
fn finds_a_cycle_of_a_parent_and_its_child() {
    let child = "use super::Parent; pub struct Child(Parent);";
    for parent in
        ["mod child; use child::Child; struct Parent;", "mod child; fn f() { child::f() } struct Parent;"]
    {
        let graph = graph_of(&[("low/mod.rs", parent), ("low/child.rs", child)]);
        assert_eq!(graph.cycles(), [BTreeSet::from(["low/child.rs", "low/mod.rs"])], "{parent}");
    }
}

#[test]
fn declarations_and_reexports_of_children_are_not_edges() {
    let graph = graph_of(&[
        (
            "low/mod.rs",
            "mod child; pub mod other; pub use child::{Child, child, f as g}; pub(crate) use self::other::*;",
        ),
        ("low/child.rs", "use super::other::Other; pub struct Child(Other); pub fn f() {} pub fn child() {}"),
        ("low/other.rs", "pub struct Other;"),
    ]);

    assert!(graph.cycles().is_empty());
    assert!(graph.edges["low/mod.rs"].is_empty());
    assert_eq!(graph.edges["low/child.rs"], BTreeSet::from(["low/other.rs".to_owned()]));
}

#[test]
fn reads_paths_in_code_but_not_in_comments_and_literals() {
    let source = r##"
        //! [`crate::a::A`]
        /* crate::a::A /* nested */ crate::a::A */
        const TEXT: &str = "crate::a::A \" crate::a::A";
        const RAW: &str = r#"crate::a::A " crate::a::A"#;
        const QUOTE: char = '"';
        const ESCAPED: char = '\'';
        fn f<'a>(_: &'a crate::b::B) { $crate::log!("{}", super::c::C::new()) }
        use crate::d as renamed;
        pub(in crate::a) fn g() { renamed::below::h() }
    "##;
    let graph = graph_of(&[
        ("lib.rs", ""),
        ("user.rs", source),
        ("a.rs", "pub struct A;"),
        ("b.rs", "pub struct B;"),
        ("c.rs", "pub struct C;"),
        ("d/mod.rs", "pub mod below;"),
        ("d/below.rs", "pub fn h() {}"),
        ("macros.rs", "#[macro_export] macro_rules! log { () => {} }"),
    ]);

    let expected = ["b.rs", "c.rs", "d/below.rs", "d/mod.rs", "macros.rs"].map(str::to_owned);
    assert_eq!(graph.edges["user.rs"], BTreeSet::from(expected));
}

#[test]
fn finds_imports_of_a_higher_layer_and_of_a_layer_of_equal_rank() {
    let graph = graph_of(&[
        ("policy/mod.rs", "use crate::types::{Time, Micros}; use crate::routing::State;"),
        ("types/mod.rs", "pub struct Time; pub struct Micros;"),
        ("routing/mod.rs", "use crate::policy; pub struct State;"),
        ("peers/mod.rs", "use crate::rebalance::Rebalance;"),
        ("rebalance/mod.rs", "pub struct Rebalance;"),
    ]);

    let expected =
        ["peers/mod.rs imports rebalance/mod.rs", "policy/mod.rs imports routing/mod.rs"].map(str::to_owned);
    assert_eq!(upward_imports(&graph), expected);
}
