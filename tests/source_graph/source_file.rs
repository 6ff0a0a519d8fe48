//! What a file defines, imports and names by path.

use std::collections::BTreeSet;

use super::crates::module_of;
use super::token::{tokenize, Token};

/// What one `use` declaration brings into a module under one name.
#[derive(Clone, Debug)]
pub(super) struct Import {
    pub(super) path: Vec<String>,
    /// The name in the module; `*` for a glob.
    pub(super) name: String,
    /// Whether the name can be used from outside the module.
    pub(super) is_reexport: bool,
}

/// What a file says of itself.
#[derive(Debug, Default)]
pub(super) struct SourceFile {
    /// Its module: the crate's name, then the modules.
    pub(super) module: Vec<String>,
    /// Names of the items that it defines.
    pub(super) items: BTreeSet<String>,
    /// Macros that it defines at the root of the crate.
    pub(super) exported_macros: BTreeSet<String>,
    pub(super) imports: Vec<Import>,
    /// Paths in code.
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

    /// A path in code; one that begins with an imported name is written out. None for a name that is not
    /// imported: it is one of this module, or no path.
    pub(super) fn with_import_resolved(&self, path: &[String]) -> Option<Vec<String>> {
        match self.imports.iter().find(|import| path.first() == Some(&import.name)) {
            Some(import) => Some(import.path.iter().chain(&path[1..]).cloned().collect()),
            None => Some(path.to_vec()).filter(|path| path.len() > 1),
        }
    }

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

    fn read_macro(&mut self, tokens: &[Token], at: usize) -> usize {
        if let Some(Token::Name(name)) = tokens.get(at + 2) {
            let is_exported = at >= 2 && tokens[at - 2].is_name("macro_export");
            let names = if is_exported { &mut self.exported_macros } else { &mut self.items };
            names.insert(name.clone());
        }
        at + 3
    }

    fn read_item(&mut self, tokens: &[Token], at: usize) -> usize {
        match tokens.get(at + 1) {
            Some(Token::Name(name)) if !defines_item(name) => {
                self.items.insert(name.clone());
                at + 2
            }
            _ => at + 1,
        }
    }

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

/// Whether a keyword comes before the name of an item.
fn defines_item(keyword: &str) -> bool {
    matches!(keyword, "struct" | "enum" | "union" | "trait" | "type" | "fn" | "const" | "static")
}

/// Reads the tree of one `use` declaration.
struct UseReader<'a> {
    tokens: &'a [Token],
    at: usize,
    is_reexport: bool,
    imports: Vec<Import>,
}

impl UseReader<'_> {
    fn next(&mut self) -> Option<Token> {
        self.at += 1;
        self.tokens.get(self.at - 1).cloned()
    }

    /// Reads a tree, up to the token after it.
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
