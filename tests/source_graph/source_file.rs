//! Parsing of a source file into its items, imports and paths.

use std::collections::BTreeSet;

use super::crates::module_of;
use super::token::{tokenize, Token};

/// A name that a `use` declaration imports into a module.
#[derive(Clone, Debug)]
pub(super) struct Import {
    /// Path of the imported item, as written.
    pub(super) path: Vec<String>,
    /// Name of the item in the module; `*` for a glob.
    pub(super) name: String,
    /// Whether the declaration is a `pub use` of any visibility.
    pub(super) is_reexport: bool,
}

/// The items, imports and paths of a source file.
#[derive(Debug, Default)]
pub(super) struct SourceFile {
    /// Path of the file's module: the crate's name, then the modules.
    pub(super) module: Vec<String>,
    /// Names of the items that the file defines.
    pub(super) items: BTreeSet<String>,
    /// Names of exported macros that the file defines. They are items of the crate's root.
    pub(super) exported_macros: BTreeSet<String>,
    pub(super) imports: Vec<Import>,
    /// Paths in code outside of `use` declarations.
    pub(super) paths: Vec<Vec<String>>,
}

impl SourceFile {
    pub(super) fn parse(file: &str, source: &str) -> SourceFile {
        let tokens = tokenize(source);
        let mut parsed = SourceFile { module: module_of(file), ..SourceFile::default() };
        let mut at = 0;
        while at < tokens.len() {
            at = match &tokens[at] {
                Token::Name(name) if name == "mod" => at + 2,
                Token::Name(name) if name == "use" => parsed.read_use(&tokens, at),
                Token::Name(name) if name == "macro_rules" => parsed.read_macro(&tokens, at),
                Token::Name(name) if defines_item(name) => parsed.read_item(&tokens, at),
                Token::Name(_) => parsed.read_path(&tokens, at),
                _ => at + 1,
            };
        }
        parsed
    }

    /// Returns a path in code, with an imported name at its start replaced by the path of the import. Returns
    /// `None` for a single name that is not imported, which is an item of this module or not a path.
    pub(super) fn with_import_resolved(&self, path: &[String]) -> Option<Vec<String>> {
        match self.imports.iter().find(|import| path.first() == Some(&import.name)) {
            Some(import) => Some(import.path.iter().chain(&path[1..]).cloned().collect()),
            None => Some(path.to_vec()).filter(|path| path.len() > 1),
        }
    }

    /// Reads a `use` declaration, whose keyword has the index `at`. Returns the index of the token after its tree.
    fn read_use(&mut self, tokens: &[Token], at: usize) -> usize {
        let is_boundary = |token: &&Token| {
            matches!(token, Token::Symbol(';' | '{' | '}' | ']')) || matches!(token, Token::Symbol('#'))
        };
        let is_reexport = tokens[..at]
            .iter()
            .rev()
            .take_while(|token| !is_boundary(token))
            .any(|token| token.is_name("pub"));
        let mut reader = UseReader { tokens, at: at + 1, is_reexport, imports: Vec::new() };
        reader.read_tree(&[]);
        self.imports.append(&mut reader.imports);
        reader.at
    }

    /// Reads the name of a `macro_rules!` definition. Returns the index of the token after it.
    fn read_macro(&mut self, tokens: &[Token], at: usize) -> usize {
        if let Some(Token::Name(name)) = tokens.get(at + 2) {
            let is_exported = at >= 2 && tokens[at - 2].is_name("macro_export");
            let names = if is_exported { &mut self.exported_macros } else { &mut self.items };
            names.insert(name.clone());
        }
        at + 3
    }

    /// Reads the name of an item after its keyword. Returns the index of the token after it.
    fn read_item(&mut self, tokens: &[Token], at: usize) -> usize {
        match tokens.get(at + 1) {
            Some(Token::Name(name)) if !defines_item(name) => {
                self.items.insert(name.clone());
                at + 2
            }
            _ => at + 1,
        }
    }

    /// Reads a path, which is skipped if it continues another path, is a member or is in a visibility.
    /// Returns the index of the token after it.
    fn read_path(&mut self, tokens: &[Token], mut at: usize) -> usize {
        let is_continued = matches!(&tokens[..at], [.., Token::PathSeparator]);
        let is_member =
            matches!(&tokens[..at], [.., before, Token::Symbol('.')] if *before != Token::Symbol('.'));
        let is_visibility = matches!(&tokens[..at], [.., Token::Symbol('('), before] if before.is_name("in"));
        let mut path = Vec::new();
        while let Some(Token::Name(name)) = tokens.get(at) {
            path.push(name.clone());
            at += 1;
            if tokens.get(at) != Some(&Token::PathSeparator) {
                break;
            }
            at += 1;
        }
        if !is_continued && !is_member && !is_visibility {
            self.paths.push(path);
        }
        at
    }
}

/// Returns whether a keyword precedes the name of an item.
fn defines_item(keyword: &str) -> bool {
    matches!(keyword, "struct" | "enum" | "union" | "trait" | "type" | "fn" | "const" | "static")
}

/// Reads the import tree of one `use` declaration.
struct UseReader<'a> {
    tokens: &'a [Token],
    /// Index of the next token.
    at: usize,
    is_reexport: bool,
    imports: Vec<Import>,
}

impl UseReader<'_> {
    fn next(&mut self) -> Option<Token> {
        self.at += 1;
        self.tokens.get(self.at - 1).cloned()
    }

    /// Reads a tree whose paths begin with `prefix`, up to the token after the tree.
    fn read_tree(&mut self, prefix: &[String]) {
        let mut path = prefix.to_vec();
        loop {
            match self.next() {
                Some(Token::Name(name)) if name == "self" && !prefix.is_empty() => break,
                Some(Token::Name(name)) => path.push(name),
                Some(Token::Symbol('*')) => return self.push(path, "*".to_owned()),
                Some(Token::Symbol('{')) => return self.read_group(&path),
                _ => return,
            }
            match self.tokens.get(self.at) {
                Some(Token::PathSeparator) => self.at += 1,
                _ => break,
            }
        }
        let mut name = path.last().cloned().unwrap_or_default();
        if self.tokens.get(self.at).is_some_and(|token| token.is_name("as")) {
            self.at += 1;
            if let Some(Token::Name(alias)) = self.next() {
                name = alias;
            }
        }
        self.push(path, name);
    }

    /// Reads the trees of a group in braces, whose paths begin with `path`.
    fn read_group(&mut self, path: &[String]) {
        loop {
            match self.tokens.get(self.at) {
                None => return,
                Some(Token::Symbol('}')) => {
                    self.at += 1;
                    return;
                }
                Some(Token::Symbol(',')) => self.at += 1,
                Some(_) => self.read_tree(path),
            }
        }
    }

    fn push(&mut self, path: Vec<String>, name: String) {
        self.imports.push(Import { path, name, is_reexport: self.is_reexport });
    }
}
