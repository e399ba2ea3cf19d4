package command

import "github.com/parquet-go/parquet-go"

// writeRows writes rows to a compressed Parquet file; it does nothing if file is empty.
func writeRows[Row any](file string, rows []Row) error {
	if file == "" {
		return nil
	}
	return parquet.WriteFile(file, rows, parquet.Compression(&parquet.Zstd))
}
