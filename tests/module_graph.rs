//! The files of `src` import one another in one direction only.
//!
//! The graph has a node for each file and an edge for each path by which one file names an item of another:
//!
//! - Paths are read from `use` declarations and from code, if they begin with `crate`, `super`, `self`, the
//!   library's name, a child module or an imported name. Comments and literals hold no paths.
//! - A path leads to the file that defines the item. One that goes through a re-export, or through a name that
//!   a parent module has imported, is followed to the end; a `mod.rs` that only re-exports is not on the way.
//! - A child that uses an item of its parent by `super::` depends on the parent's file, and a parent that uses
//!   an item of its child by a private `use` or by path depends on the child's file: both at once are a circle.
//! - `mod` declarations and visibilities are no edges, and neither are re-exports (`pub use`) of a module's own descendants,
//!   unless the module's own code uses the name.
//! - A glob import is an edge to the module's own file.
//!
//! Calls of methods need no path, so they are no edges.

mod source_graph;

use std::collections::BTreeSet;

use source_graph::Graph;

/// A folder of `src`, or a file of its own.
#[derive(Clone, Copy, Debug)]
struct Layer {
    /// Its path in `src`.
    folder: &'static str,
    /// It may import layers of lower rank. Those of the same rank are independent of each other.
    rank: u32,
}

const fn layer(folder: &'static str, rank: u32) -> Layer {
    Layer { folder, rank }
}

/// The layers, from the lowest; a file belongs to the first that its path begins with.
const LAYERS: [Layer; 12] = [
    layer("types/", 0),
    layer("bookkeeping/", 1),
    layer("policy/", 2),
    layer("peers/", 3),
    layer("rebalance/", 3),
    layer("routing/", 4),
    layer("protocol/", 5),
    // The transport logs and reads the configuration; the rest of the program starts it.
    layer("program/log.rs", 6),
    layer("program/config/", 7),
    layer("transport/", 8),
    layer("program/", 9),
    layer("bin/", 9),
];
/// The library's root only declares and re-exports: it is above all.
const LIBRARY_ROOT: Layer = layer("lib.rs", u32::MAX);

/// The layer that a file lies in.
fn layer_of(file: &str) -> Layer {
    if file == LIBRARY_ROOT.folder {
        return LIBRARY_ROOT;
    }
    let layer = LAYERS.iter().find(|layer| file.starts_with(layer.folder));
    *layer.unwrap_or_else(|| panic!("{file} lies in no layer: add its folder to LAYERS"))
}

/// Imports from a layer to one that is not below it, one a line.
fn upward_imports(graph: &Graph) -> Vec<String> {
    let mut upward = Vec::new();
    for (file, targets) in &graph.edges {
        for target in targets {
            let (from, to) = (layer_of(file), layer_of(target));
            if from.folder != to.folder && from.rank <= to.rank {
                upward.push(format!("{file} imports {target}"));
            }
        }
    }
    upward
}

fn graph_of(sources: &[(&str, &str)]) -> Graph {
    Graph::new(&sources.iter().map(|(file, source)| ((*file).to_owned(), (*source).to_owned())).collect())
}

#[test]
fn files_of_src_form_no_circle() {
    let graph = Graph::of_this_project();
    let circles: Vec<String> = graph.circles().iter().map(|circle| graph.describe(circle)).collect();
    assert!(circles.is_empty(), "files form circles of imports:\n{}", circles.join("\n"));
}

#[test]
fn no_layer_imports_one_that_is_not_below_it() {
    let upward = upward_imports(&Graph::of_this_project());
    assert!(upward.is_empty(), "upward imports:\n{}", upward.join("\n"));
}

#[test]
fn finds_a_circle_through_a_reexport_and_names_its_files() {
    let graph = graph_of(&[
        ("lib.rs", "mod low; mod high;"),
        ("low/mod.rs", "mod first; pub use first::First;"),
        ("low/first.rs", "use crate::high::Second; pub struct First(Second);"),
        ("high.rs", "use crate::low::First; pub struct Second; fn take(_: First) {}"),
    ]);

    assert_eq!(graph.circles(), [BTreeSet::from(["high.rs", "low/first.rs"])]);
}

#[test]
fn finds_a_circle_of_a_parent_and_its_child() {
    let child = "use super::Parent; pub struct Child(Parent);";
    for parent in
        ["mod child; use child::Child; struct Parent;", "mod child; fn f() { child::f() } struct Parent;"]
    {
        let graph = graph_of(&[("low/mod.rs", parent), ("low/child.rs", child)]);
        assert_eq!(graph.circles(), [BTreeSet::from(["low/child.rs", "low/mod.rs"])], "{parent}");
    }
}

#[test]
fn takes_declarations_and_reexports_of_children_for_no_edges() {
    let graph = graph_of(&[
        (
            "low/mod.rs",
            "mod child; pub mod other; pub use child::{Child, child, f as g}; pub(crate) use self::other::*;",
        ),
        ("low/child.rs", "use super::other::Other; pub struct Child(Other); pub fn f() {} pub fn child() {}"),
        ("low/other.rs", "pub struct Other;"),
    ]);

    assert!(graph.circles().is_empty());
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
fn finds_an_import_of_a_higher_layer_and_of_one_beside() {
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
