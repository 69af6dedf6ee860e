// Command 9 plays case 9 of the second review: a process under load is replaced by another one.
package main

import "puffinsaddle/review/standin2"

func main() { standin2.Main(standin2.Vault) }
